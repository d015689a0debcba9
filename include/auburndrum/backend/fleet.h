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

/// A prompt cut into cache pieces, ready to be placed.
struct PreparedPrompt
{
    decision::PromptPieces pieces;
    std::string keyList; ///< for the X-Piece-Keys header
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

/// One backend server to watch.
struct WatchedServer
{
    decision::ServerId id;
    std::string address;
    std::uint64_t incarnation = 0;
};

/// @brief All that this entry VM knows of backend servers and store VMs, shared by the event loop and the workers.
///
/// Thread-safe: one lock guards all tables. Lock order: the directory's snapshot is taken before this lock, and no
/// hook runs under it but the router's own.
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options);

    /// Cuts a prompt into pieces whose keys carry organisation and weight version.
    PreparedPrompt prepare(std::string_view organisation, std::string_view version, std::string_view prompt, std::uint32_t pieceTokens);
    /// Chooses a backend server, or refuses at once.
    decision::RouteResult<decision::Placement> place(const decision::RouteRequest &request, Instant now);

    /// Counts a request as begun and as ended.
    void onSent(decision::ServerId server, std::uint32_t prefillTokens, Instant now);
    void onFinished(decision::ServerId server);
    /// Tells how an attempt went: a failure is one of the server itself, not a refusal that it meant.
    void recordSuccess(decision::ServerId server);
    void recordFailure(decision::ServerId server, Instant now);

    void recordFirstAttempt(std::string_view service);
    /// Takes one retry out of the service's budget; false when there is none.
    bool tryAcquireRetry(std::string_view service, Instant now);

    void put(const decision::ServerEntry &entry);
    void remove(std::string_view address, std::uint64_t incarnation);
    /// Keeps new work away from an incarnation for good. False when it was known to leave.
    bool markLeaving(std::string_view address, std::uint64_t incarnation);
    void applyLoadReport(std::string_view address, const decision::ServerLoadReport &load);
    void observeVersion(decision::ServerId server, std::string_view version);
    void noteCachedPrompt(decision::ServerId server, const PreparedPrompt &prompt);

    /// Takes cache events as text keys; false when the server's view needs a resync.
    bool applyCacheEvents(const WatchedServer &server, const std::vector<std::pair<decision::CacheEvent, std::string>> &events, std::uint64_t next);
    void resyncCache(const WatchedServer &server, const std::vector<std::string> &keys, std::uint64_t next);

    /// All servers, for watching and for status.
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
