#pragma once

#include "auburndrum/gateway/enginecontrol.h"
#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/promptstorelog.h"

#include <QObject>
#include <QTimer>

#include <map>
#include <string>

namespace auburndrum::gateway {

/// Options of a PromptStoreReader.
struct PromptStoreReaderOptions
{
    std::chrono::milliseconds longPollTimeout{1000}; ///< of one poll for changes; the longest that the stores allow
    std::chrono::milliseconds retryDelay{500}; ///< before the next poll of a store that gave no usable response
    /// Retry delay after a store refused because it had too many readers; doubles with each further refusal, since each attempt has a cost. In a large fleet
    /// most entry VMs work without reading the stores themselves.
    std::chrono::milliseconds busyRetryDelay{5000};
    std::chrono::milliseconds maxBusyRetryDelay{300000};
    std::chrono::milliseconds pollInterval{100}; ///< least time between two polls of a store, so that changes arrive in batches
    std::chrono::milliseconds pollIntervalPerStore{10}; ///< grows the interval with the number of stores, so that calls a second stay bounded
    std::chrono::milliseconds freeCheckInterval{1000}; ///< between checks for parts of outdated weights
    std::chrono::milliseconds freeDelay{1500}; ///< time for which a scope must have been out of use before its parts are freed
    std::size_t maxPartsPerFree = 500; ///< most parts freed in one call
};

/// Hooks that a PromptStoreReader calls for what it reads itself. Both may be empty.
struct PromptStoreReaderHooks
{
    std::function<void(const std::string &address, const decision::PromptStoreUpdate &)> onUpdate;
    std::function<void(const std::string &address)> onUnreachable;
};

/// @brief Follows what the prompt stores hold, and frees parts made with weights that no engine has any more.
class PromptStoreReader : public QObject
{
    Q_OBJECT

public:
    PromptStoreReader(
        PromptStoreReaderOptions options, GatewayState &state, const EngineControl &engines, PromptStoreReaderHooks hooks, QObject *parent = nullptr);

    /// Follows the stores of the configuration in force, and no others.
    void configure();
    /// Whether to poll the stores. While polling is off, updates arrive through applyLogEntry(); polling continues after the last of them.
    void setPolling(bool isPolling);
    /// Applies an update that another entry VM read.
    void applyLogEntry(const PromptStoreLogEntry &entry);

private:
    struct FollowedStore
    {
        std::uint64_t nextChange = 0;
        std::uint64_t incarnation = 0;
        bool isUnreachable = false;
        Instant polledAt{};
        std::chrono::milliseconds busyDelay{0}; ///< retry delay after the last refusal for too many readers
        std::uint64_t generation = 0; ///< responses to polls of an earlier generation are dropped
    };

    void pollChanges(const std::string &address);
    void schedulePoll(const std::string &address, std::chrono::milliseconds delay);
    void readContents(const std::string &address);
    void handleResult(const std::string &address, std::uint64_t generation, const PromptStoreResult &result);
    void scheduleRetry(const std::string &address, FollowedStore &followed, PromptStoreError error);
    void freeOutdatedParts();
    bool hasOutdatedWeights(std::string_view scope) const;

    PromptStoreReaderOptions m_options;
    GatewayState &m_state;
    const EngineControl &m_engines;
    PromptStoreReaderHooks m_hooks;
    bool m_isPolling = false;
    std::map<std::string, FollowedStore> m_stores; ///< followed stores, by address
    std::map<std::string, Instant> m_outdatedSince; ///< since when each scope has outdated weights
    QTimer m_freeTimer;
    std::uint64_t m_lastGeneration = 0;
};

} // namespace auburndrum::gateway
