#pragma once

#include "auburndrum/gateway/enginecontrol.h"
#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/keptlog.h"

#include <QObject>
#include <QTimer>

#include <map>
#include <string>

namespace auburndrum::gateway {

/// Options of a KeptReader.
struct KeptReaderOptions
{
    std::chrono::milliseconds wait{1000}; ///< of one question for changes; the longest that the stores allow
    std::chrono::milliseconds retryPause{500}; ///< after a store gave no usable answer
    /// After a store had too many readers; doubles with each further refusal, as each has a price. In a large fleet most entry VMs do without.
    std::chrono::milliseconds busyPause{5000};
    std::chrono::milliseconds maxBusyPause{300000};
    std::chrono::milliseconds askInterval{100}; ///< between two questions to a store, so that changes come together
    std::chrono::milliseconds freeInterval{1000}; ///< between looks for parts of old weights
    std::chrono::milliseconds freeDelay{1500}; ///< a scope must have been out of use for so long
    std::size_t freeAtOnce = 500; ///< parts in one call
};

/// What a KeptReader tells of its own reading. Both may be empty.
struct KeptReaderHooks
{
    std::function<void(const std::string &address, const decision::PromptStoreUpdate &)> onReport;
    std::function<void(const std::string &address)> onLost;
};

/// @brief Follows what the stores of cached prompts hold, and frees what was made with weights that no engine has any more.
class KeptReader : public QObject
{
    Q_OBJECT

public:
    KeptReader(KeptReaderOptions options, GatewayState &state, const EngineControl &engines, KeptReaderHooks hooks, QObject *parent = nullptr);

    /// Follows the stores of the configuration in force, and no others.
    void configure();
    /// Whether to ask the stores. While it doesn't, news come through take(); it goes on from the last of them.
    void setAsking(bool isAsking);
    /// News that another entry VM read.
    void take(const KeptNews &news);

private:
    struct Followed
    {
        std::uint64_t since = 0;
        std::uint64_t incarnation = 0;
        bool isLost = false;
        Instant askedAt{};
        std::chrono::milliseconds pause{0}; ///< of the last refusal for too many readers
        std::uint64_t round = 0; ///< answers to questions of an earlier round are dropped
    };

    void ask(const std::string &address);
    void askSoon(const std::string &address, std::chrono::milliseconds pause);
    void askAll(const std::string &address);
    void take(const std::string &address, std::uint64_t round, const KeptAnswer &answer);
    void askAgain(const std::string &address, Followed &followed, KeptError error);
    void freeStale();
    bool isStale(std::string_view scope) const;

    KeptReaderOptions m_options;
    GatewayState &m_state;
    const EngineControl &m_engines;
    KeptReaderHooks m_hooks;
    bool m_isAsking = false;
    std::map<std::string, Followed> m_followed; ///< by address
    std::map<std::string, Instant> m_staleSince; ///< by scope
    QTimer m_freeTimer;
    std::uint64_t m_rounds = 0;
};

} // namespace auburndrum::gateway
