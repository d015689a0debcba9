#pragma once

#include "auburndrum/decision/cacheindex.h"
#include "auburndrum/decision/circuitbreaker.h"
#include "auburndrum/decision/piecekey.h"
#include "auburndrum/decision/placement.h"
#include "auburndrum/decision/retrybudget.h"
#include "auburndrum/decision/servertable.h"
#include "auburndrum/decision/storetable.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>

#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::backend {

/// A prompt split into cache pieces, ready for placement.
struct PreparedPrompt
{
    decision::PromptPieces pieces;
    std::string keyList; ///< value of the X-Piece-Keys header
};

/// Options of a Fleet.
struct FleetOptions
{
    decision::RouterOptions router;
    decision::StoreTableOptions stores;
    decision::CircuitBreakerOptions breaker;
    decision::RetryBudgetOptions retries;
    std::size_t maxCacheKeys = 1'000'000;
};

/// Identity of a backend server whose cache events are read.
struct WatchedServer
{
    decision::ServerId id;
    std::string address;
    std::uint64_t incarnation = 0;
};

/// @brief State of the backend servers and store VMs as known to this entry VM, shared by the event loop and the workers.
///
/// Thread-safe: one lock guards all tables. Lock order: read the directory's snapshot before taking this lock. No hook runs
/// under this lock except the router's own.
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options);

    /// Splits a prompt into pieces whose keys include the organisation and the weight version.
    PreparedPrompt prepare(std::string_view organisation, std::string_view version, std::string_view prompt, std::uint32_t pieceTokens);
    /// Chooses a backend server or returns the reason for the refusal; never waits.
    decision::RouteResult<decision::Placement> place(const decision::RouteRequest &request, Instant now);

    /// Record that a request was sent to a server and that it finished there.
    void onSent(decision::ServerId server, std::uint32_t prefillTokens, Instant now);
    void onFinished(decision::ServerId server);
    /// Record the result of an attempt for the circuit breaker. A deliberate refusal is not a failure.
    void recordSuccess(decision::ServerId server);
    void recordFailure(decision::ServerId server, Instant now);

    void recordFirstAttempt(std::string_view service);
    /// Takes one retry from the service's retry budget. Returns false if the budget is used up.
    bool tryAcquireRetry(std::string_view service, Instant now);

    void put(const decision::ServerEntry &entry);
    void remove(std::string_view address, std::uint64_t incarnation);
    /// Stops sending new requests to an incarnation, permanently. Returns false if it was already marked as leaving.
    bool markLeaving(std::string_view address, std::uint64_t incarnation);
    void applyLoadReport(std::string_view address, const decision::ServerLoadReport &load);
    void observeVersion(decision::ServerId server, std::string_view version);
    void noteCachedPrompt(decision::ServerId server, const PreparedPrompt &prompt);

    /// Applies cache events with their piece keys in text form. Returns false if the index of the server's cache needs a resync.
    bool applyCacheEvents(const WatchedServer &server, const std::vector<std::pair<decision::CacheEvent, std::string>> &events, std::uint64_t next);
    void resyncCache(const WatchedServer &server, const std::vector<std::string> &keys, std::uint64_t next);

    /// All servers, for polling and for status.
    std::vector<decision::Server> servers() const;
    /// Name of a zone, region or service of a server.
    std::string nameOf(decision::NameId id) const;

private:
    decision::CircuitBreaker &breaker(decision::ServerId server) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    FleetOptions m_options;
    mutable absl::Mutex m_mutex;
    decision::KeyNames m_names ABSL_GUARDED_BY(m_mutex);
    decision::ServerTable m_servers ABSL_GUARDED_BY(m_mutex);
    decision::CacheIndex m_cache ABSL_GUARDED_BY(m_mutex);
    decision::StoreTable m_stores ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<decision::ServerId, decision::CircuitBreaker> m_breakers ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<std::string, decision::RetryBudget> m_retries ABSL_GUARDED_BY(m_mutex);
    absl::BitGen m_random ABSL_GUARDED_BY(m_mutex);
    decision::Router m_router ABSL_GUARDED_BY(m_mutex);
};

} // namespace auburndrum::backend
