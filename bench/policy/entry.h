#pragma once

#include "auburndrum/decision/cacheindex.h"
#include "auburndrum/decision/circuitbreaker.h"
#include "auburndrum/decision/concurrencylimit.h"
#include "auburndrum/decision/fairqueue.h"
#include "auburndrum/decision/placement.h"
#include "auburndrum/decision/reuseintervals.h"
#include "auburndrum/decision/servertable.h"
#include "auburndrum/decision/storetable.h"
#include "eventloop.h"
#include "policy.h"
#include "profile.h"
#include "workload.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace auburndrum::bench {

/// One request on its way.
struct Request
{
    std::uint64_t id = 0;
    const Context *context = nullptr;
    std::uint32_t zone = 0; ///< where its entry is
    std::uint32_t entry = 0;
    std::uint32_t version = 1;
    std::uint32_t promptTokens = 0;
    std::vector<decision::PieceKey> keys;
    std::vector<decision::ServerId> tried;
    Instant arrived{};
    Instant deadline{};
    Instant dispatched{};
    std::chrono::nanoseconds predicted{};
    std::chrono::nanoseconds took{}; ///< from dispatch to first token
};

/// What an entry knows: the shipped tables.
struct Knowledge
{
    decision::ServerTable servers;
    decision::CacheIndex cache;
    decision::StoreTable stores;
};

/// Limits of one entry towards one server.
struct ServerLimits
{
    decision::ConcurrencyLimit concurrency;
    decision::CircuitBreaker breaker;
};

/// Name of a weight version.
std::string versionName(std::uint32_t version);

/// One entry VM: chooses servers with the shipped decisions, or as a baseline does.
class Entry
{
public:
    Entry(const Profile &profile, Policy policy, std::uint32_t zone, std::shared_ptr<Knowledge> knowledge);

    decision::RouteResult<decision::Placement> choose(const Request &request, Instant now, absl::BitGenRef random);

    ServerLimits &limits(decision::ServerId server);
    decision::ConcurrencyLimit &serviceLimit();

    /// Longest wait for a first token after dispatch that counts as healthy.
    std::chrono::nanoseconds allowedWait() const;
    Knowledge &knowledge();
    decision::FairQueue &queue();
    decision::ReuseIntervals &gaps();
    std::uint32_t zone() const;

    /// Plans one later look at the queue; false when one is planned already.
    bool planPump();
    void pumpBegan();

    /// Sets the weight version that the request asks for, and its keys.
    void setVersion(Request &request, absl::BitGenRef random) const;

    /// Learns the gap since the context was last seen here.
    void seen(const Context &context, Instant now);

private:
    decision::RouteResult<decision::Placement> chooseBaseline(const Request &request, Instant now, absl::BitGenRef random);
    std::size_t pickBaseline(const Request &request, const std::vector<const decision::Server *> &usable, Instant now, absl::BitGenRef random);
    void importAll(const Request &request, Instant now, decision::Placement &placement);

    const Profile &m_profile;
    Policy m_policy;
    std::uint32_t m_zone;
    std::shared_ptr<Knowledge> m_knowledge;
    decision::RouterOptions m_options;
    std::unique_ptr<decision::Router> m_router;
    decision::FairQueue m_queue;
    decision::ReuseIntervals m_gaps;
    absl::flat_hash_map<decision::ServerId, ServerLimits> m_limits;
    absl::flat_hash_map<std::uint32_t, Instant> m_lastSeen;
    decision::ConcurrencyLimit m_serviceLimit{{.initialLimit = 32, .minLimit = 2}};
    std::size_t m_turn = 0;
    bool m_pumpPlanned = false;
};

} // namespace auburndrum::bench
