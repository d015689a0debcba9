#pragma once

#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/keyedfeed.h"
#include "auburndrum/gateway/pathprobe.h"
#include "auburndrum/gateway/peerexchange.h"
#include "auburndrum/gateway/promptstorereader.h"
#include "auburndrum/gateway/recentlag.h"
#include "auburndrum/gateway/recordstore.h"
#include "auburndrum/gateway/relaylink.h"
#include "auburndrum/gateway/streamoriginlink.h"
#include "auburndrum/gateway/weightupdater.h"
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
    net::Address readinessAddress; ///< address of the balancer's readiness checks and of the metrics
    std::string operatorTopic;
    std::string backendTopic;
    std::string entryTopic; ///< topic in which entry VMs find each other; empty: they don't use each other as relays
    net::Address peerAddress; ///< address at which other entry VMs call this one
    double linkMegabits = 0; ///< bandwidth of this VM's network link, Mbit/s; 0 when unknown
    std::chrono::milliseconds directoryDelay{0}; ///< delay until all VMs that start together have registered
    decision::RetryAllowanceOptions retries;
    std::chrono::milliseconds outdatedWeightsLimit{10000}; ///< time after new weights are named from which no request may begin on older ones
    std::chrono::milliseconds startSettleTime{4000}; ///< time after its start in which the platform holds a VM to no time limit
    std::chrono::milliseconds orderInterval{3000}; ///< least time between orders of two VMs to one backend server
    std::chrono::milliseconds changeTime{2500}; ///< from the store's acknowledgement of a change until each VM must apply it
    std::chrono::milliseconds drainTime{2500}; ///< for which a backend server that leaves may still get requests
    std::chrono::milliseconds stopGrace{8000}; ///< time from the stop signal until the process is killed
    std::uint64_t memoryBytes = 256 * 1024 * 1024; ///< that the process may use in all
    int maxConnections = 2048;
    std::function<void(std::string_view)> writeLog; ///< standard output when empty
};

/// Parsers for the records of the operator and the backend servers. Every hook must be set.
struct RecordReaders
{
    std::function<bool(std::string_view key)> isConfiguration;
    std::function<bool(std::string_view key)> isWeights;
    std::function<std::optional<decision::Configuration>(std::string_view value, std::string &problem)> readConfiguration;
    /// Model and version.
    std::function<std::optional<std::pair<std::string, std::uint64_t>>(std::string_view value, std::string &problem)> readWeights;
    std::function<std::optional<decision::BackendServer>(std::string_view id, std::string_view value, std::string &problem)> readBackendServer;
};

/// @brief The request path of one entry VM: accepts callers' requests and forwards them to backend servers.
///
/// Routes, organisations and backend servers follow the platform's store; nothing is stored on the VM.
class Gateway : public QObject
{
    Q_OBJECT

public:
    Gateway(GatewayOptions options, Wire wire, RecordReaders readers, RecordStore store, EngineControl engines, QObject *parent = nullptr);
    ~Gateway() override;

    /// Starts listening; false when an address is not available.
    bool start();
    /// Applies the settings that may change at run time: the retry allowance, the time for changes, the limit for outdated weights and the stop grace.
    void reload(const GatewayOptions &options);
    /// Logs that changed settings are invalid; the old ones stay in force.
    void logRejectedSettings(const std::string &problem);
    /// Stops accepting requests, completes those in progress, then calls `onStopped`.
    void stop(std::function<void()> onStopped);

private:
    void handleReadiness(const std::shared_ptr<net::Exchange> &exchange);
    /// Serves a request that another entry VM passes on for one of its callers.
    void handleRelayedRequest(const std::shared_ptr<net::Exchange> &exchange);
    void logOverdue(const std::string &topic, int repeats, std::chrono::milliseconds waited, std::optional<std::chrono::milliseconds> sinceBytes);
    void logBatch(const std::string &topic, const BatchReport &report);
    /// The longest time for which a change that a feed reports now may have been acknowledged; empty in its first snapshot.
    std::optional<std::chrono::milliseconds> observeChange(const std::string &topic, const KeyedFeed &feed);
    /// Returns whether the record can be used.
    bool applyOperatorRecord(const std::string &key, const std::optional<QByteArray> &value);
    void applyConfiguration(decision::Configuration configuration);
    /// Returns whether the record can be used.
    bool applyBackendRecord(const std::string &id, const std::optional<QByteArray> &value, bool duringOutage);
    void expireServers();
    /// Options of the server for callers, or for requests that other entry VMs pass on, as `peers` says in the log.
    net::HttpServerOptions serverOptions(const decision::CallerLimits &limits, const char *peers, int maxConnections);
    /// Measures how late the event loop runs.
    void measureLag();
    void skipRecord(const std::string &topic, const std::string &key, const std::string &problem);
    KeyedFeedOptions feedOptions(const std::string &topic);
    KeyedFeedHooks feedHooks(const std::string &topic, std::function<bool(const std::string &, const std::optional<QByteArray> &, bool)> onChange);
    bool isReady() const;
    void finishStop();
    /// Ends the accepting of callers' connections, with a log line.
    void stopListening();
    /// Gives each request that is still open its final answer.
    void endOpenRequests();
    /// Passes to the operating system what it takes of the answers.
    void flushAnswers();
    /// The earliest time from which a signal that is handled now may have waited.
    Instant lastOnTime() const;

    GatewayOptions m_options;
    RecordReaders m_readers;
    EngineControl m_engines;
    GatewayState m_state;
    net::HttpServer m_callerServer;
    net::HttpServer m_readinessServer;
    RelayLink m_relayLink;
    PeerExchange m_peerExchange;
    StreamOriginLink m_streamOriginLink;
    PathProbe m_pathProbe;
    RecordStore m_store; ///< its reads may go through another entry VM
    KeyedFeed m_operatorFeed;
    KeyedFeed m_backendFeed;
    WeightUpdater m_weightUpdater;
    PromptStoreReader m_promptStoreReader;
    QTimer m_expiryTimer;
    Instant m_lastExpiryAt{}; ///< when that timer last ran, on the clock of monotonicNow()
    RecentLag m_lag;
    QTimer m_stopTimer;
    bool m_isStopping = false;
    bool m_hasReadAtEnd = false; ///< in a stop: the loop has gone round once more after the time for open requests was over
    bool m_hasReadAtExit = false; ///< in a stop: the loop has gone round once more before the exit
    Instant m_stopAt{};
    std::chrono::milliseconds m_stopGrace{0}; ///< in a stop: the grace that the platform gave when it began
    std::function<void()> m_onStopped;
};

} // namespace auburndrum::gateway
