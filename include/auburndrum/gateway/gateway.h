#pragma once

#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/keptreader.h"
#include "auburndrum/gateway/keyedfeed.h"
#include "auburndrum/gateway/recordstore.h"
#include "auburndrum/gateway/relaylink.h"
#include "auburndrum/gateway/weightkeeper.h"
#include "auburndrum/net/httpserver.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <memory>
#include <string>

namespace auburndrum::gateway {

/// Options of a Gateway.
struct GatewayOptions
{
    std::string vm;
    std::string zone;
    std::map<std::string, std::string, std::less<>> regionOfZone;
    net::Address callerAddress;
    net::Address readinessAddress; ///< answers the balancer's question and serves the metrics
    std::string operatorTopic;
    std::string backendTopic;
    std::string entryTopic; ///< in which entry VMs find each other; empty: they don't
    net::Address peerAddress; ///< where other entry VMs call this one
    double linkMegabits = 0; ///< bandwidth of this VM's network link, Mbit/s; 0 when unknown
    std::chrono::milliseconds directoryDelay{0}; ///< until all VMs that start together have registered
    decision::RetryAllowanceOptions retries;
    std::chrono::milliseconds outdatedWeightsLimit{10000}; ///< after it no request may begin on older weights
    std::chrono::milliseconds orderInterval{3000}; ///< two VMs' orders to one backend server are at least so far apart
    std::chrono::milliseconds stopGrace{8000}; ///< the process is killed so long after the signal to stop
    int maxConnections = 2048;
    std::function<void(std::string_view)> writeLog; ///< standard output when empty
};

/// What the records of the operator and the backend servers hold. Every hook must be set.
struct RecordReaders
{
    std::function<bool(std::string_view key)> isConfiguration;
    std::function<bool(std::string_view key)> isWeights;
    std::function<std::optional<decision::Configuration>(std::string_view value, std::string &problem)> readConfiguration;
    /// Model and version.
    std::function<std::optional<std::pair<std::string, std::uint64_t>>(std::string_view value, std::string &problem)> readWeights;
    std::function<std::optional<decision::BackendServer>(std::string_view id, std::string_view value, std::string &problem)> readBackendServer;
};

/// @brief The request path of one entry VM: takes callers' requests and passes them to backend servers.
///
/// Routes, organisations and backend servers follow the platform's store; nothing is kept on the VM.
class Gateway : public QObject
{
    Q_OBJECT

public:
    Gateway(GatewayOptions options, Wire wire, RecordReaders readers, RecordStore store, EngineControl engines, QObject *parent = nullptr);
    ~Gateway() override;

    /// False when an address can't be had.
    bool start();
    /// Takes the settings that may change while it runs: the allowance for retries, the time for new weights and the grace of a stop.
    void reload(const GatewayOptions &options);
    /// Tells that changed settings can't be used; the old ones stay in force.
    void logRejectedSettings(const std::string &problem);
    /// Stops taking requests, ends those under way, then calls `onStopped`.
    void stop(std::function<void()> onStopped);

private:
    void handleReadiness(const std::shared_ptr<net::Exchange> &exchange);
    void applyOperatorRecord(const std::string &key, const std::optional<QByteArray> &value);
    void applyConfiguration(decision::Configuration configuration);
    void applyBackendRecord(const std::string &id, const std::optional<QByteArray> &value, bool duringOutage);
    void expireServers();
    void skipRecord(const std::string &topic, const std::string &key, const std::string &problem);
    KeyedFeedHooks feedHooks(const std::string &topic, std::function<void(const std::string &, const std::optional<QByteArray> &, bool)> onChange);
    bool isReady() const;
    void finishStop();

    GatewayOptions m_options;
    RecordReaders m_readers;
    EngineControl m_engines;
    GatewayState m_state;
    net::HttpServer m_callerServer;
    net::HttpServer m_readinessServer;
    RelayLink m_relayLink;
    RecordStore m_store; ///< its reads may go by way of another entry VM
    KeyedFeed m_operatorFeed;
    KeyedFeed m_backendFeed;
    WeightUpdater m_weightUpdater;
    PromptStoreReader m_promptStoreReader;
    QTimer m_expiryTimer;
    QTimer m_stopTimer;
    bool m_isStopping = false;
    Instant m_stopAt{};
    std::function<void()> m_onStopped;
};

} // namespace auburndrum::gateway
