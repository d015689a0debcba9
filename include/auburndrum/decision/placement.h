#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/cacheindex.h"
#include "auburndrum/decision/piecekey.h"
#include "auburndrum/decision/servertable.h"
#include "auburndrum/decision/servicedocument.h"
#include "auburndrum/decision/storetable.h"

#include <absl/random/bit_gen_ref.h>
#include <boost/outcome.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// A request to be routed to a backend server.
struct RouteRequest
{
    std::string_view service;
    std::string_view weightVersion; ///< weight version that the server must serve; empty accepts any
    std::span<const PieceKey> pieceKeys; ///< keys of the complete pieces of the prompt, in prompt order
    std::uint32_t promptTokens = 0;
    std::uint32_t pieceTokens = 2000;
    std::chrono::nanoseconds firstTokenTimeout = std::chrono::seconds(5); ///< time left until the first token is due
    RoutingCostWeights costWeights;
    std::span<const ServerId> triedServers; ///< servers used by earlier attempts; not chosen again
};

/// Why a server was chosen.
enum class PlacementReason : std::uint8_t {
    Cached, ///< the engine has a prefix of the prompt in its cache
    Imported, ///< the engine imports a part of the prompt from a store VM
    PreferredServer, ///< the server has none of the prompt cached and is first in its rendezvous hash
    LeastLoad, ///< chosen by load alone, or the preferred server costs more
};

/// A cached block to import from a store VM before the rest of the prompt is prefilled.
struct BlockImport
{
    PieceKey key;
    StoredBlock block;
};

/// The server chosen for a request, with the predictions that led to the choice.
struct Placement
{
    ServerId server;
    std::string address;
    std::chrono::nanoseconds predictedFirstTokenTime{};
    std::chrono::nanoseconds predictedQueueTime{}; ///< part of predictedFirstTokenTime that the request waits at the server
    std::uint32_t cachedTokens = 0; ///< prompt tokens expected in the engine's cache
    std::uint32_t recomputeTokens = 0; ///< prompt tokens that the engine has to prefill
    std::vector<BlockImport> imports; ///< in prompt order
    std::uint64_t linkBytes = 0; ///< bytes expected over the inter-region link
    double cost = 0; ///< sum of time, prefill and link use, weighted by RouteRequest::costWeights
    PlacementReason reason = PlacementReason::LeastLoad;
};

/// Why no server was chosen.
enum class RouteError : std::uint8_t {
    UnknownService, ///< the table has no server of this service
    NoEligibleServer, ///< every server is leaving, already tried, unusable or serves another weight version
    ServersBusy, ///< eligible servers exist, but their queues are too long: keep it in the entry VM's fair queue
    Overloaded, ///< the first token is predicted after its deadline
};

/// Why a request was refused and when to retry it. Nothing has been run.
struct RouteRefusal
{
    RouteError reason = RouteError::NoEligibleServer;
    std::chrono::milliseconds retryAfter{1000};
};

template<typename T>
using RouteResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, RouteRefusal, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Zone and region of the entry VM that runs the router.
struct RouterLocation
{
    std::string zone;
    std::string region;
};

/// Options of a Router. Network delays are one way.
struct RouterOptions
{
    RouterLocation location;
    std::chrono::nanoseconds intraZoneDelay = std::chrono::microseconds(100); ///< to a server in the same zone
    std::chrono::nanoseconds interZoneDelay = std::chrono::microseconds(1500); ///< to a server in another zone of the same region
    std::chrono::nanoseconds interRegionDelay = std::chrono::milliseconds(12); ///< to a server in another region
    std::size_t fullScanLimit = 16; ///< services with at most this many servers have all of them as candidates
    std::size_t preferredCandidates = 3; ///< number of candidates that come first in the prompt's rendezvous hash
    std::size_t affinityPiece = 2; ///< index of the piece whose key is hashed; earlier ones may be common to all prompts of an organisation
    std::chrono::nanoseconds maxQueueTime = std::chrono::milliseconds(1500); ///< servers with a longer predicted queue are not eligible
    std::size_t randomCandidates = 4; ///< number of candidates drawn at random
    std::size_t prefixHolderCandidates = 8; ///< number of candidates with the longest cached prefixes
    double preferredServerBonus = 0.1; ///< share of the prompt's prefill time subtracted from the preferred server's cost
    std::chrono::nanoseconds equalCostMargin = std::chrono::milliseconds(5); ///< candidates within this cost of the best are chosen from at random
    std::uint32_t expectedAnswerBytes = 2000; ///< expected size of a response, counted as inter-region link use
    double defaultPrefillTokensPerSecond = 8000; ///< prefill rate assumed for a server that has reported none
    std::uint32_t runningLimit = 64; ///< requests that a server runs at once before requests without a prompt wait
};

/// Hooks of a Router.
struct RouterHooks
{
    /// False excludes a server for now, for example because its circuit breaker is open or its concurrency limit is reached.
    std::function<bool(const Server &, Instant)> isUsable;
    /// Unused bytes per second of the link between two regions. Without this hook the link is taken as unlimited.
    std::function<double(std::string_view from, std::string_view to)> freeLinkRate;
};

/// Chooses the backend server of each request from the given tables, which must outlive it. Not thread-safe.
class Router
{
public:
    Router(const RouterOptions &options, const ServerTable &servers, CacheIndex &cache, StoreTable &stores, RouterHooks hooks = {});

    /// Chooses the server with the lowest estimated cost, or refuses the request.
    ///
    /// Among candidates of about equal cost the choice is random, so that entry VMs with the same outdated load reports
    /// don't all choose the same server.
    RouteResult<Placement> choose(const RouteRequest &request, Instant now, absl::BitGenRef random) const;

private:
    struct Candidate
    {
        const Server *server = nullptr;
        std::uint32_t cachedPieces = 0;
        bool isPreferred = false;
    };

    struct Candidates
    {
        absl::InlinedVector<Candidate, 24> list;
        bool skippedBusyServer = false; ///< a server was excluded only because its queue is too long

        Candidate *find(const Server *server);
    };

    struct Estimate;

    Candidates findCandidates(const RouteRequest &request, Instant now, absl::BitGenRef random) const;
    void addAllServers(const RouteRequest &request, std::span<const std::uint32_t> slots, Instant now, Candidates &found) const;
    void addPreferredServers(const RouteRequest &request, std::span<const std::uint32_t> slots, Instant now, Candidates &found) const;
    void addRandomServers(const RouteRequest &request, std::span<const std::uint32_t> slots, Instant now, absl::BitGenRef random, Candidates &found) const;
    void addPrefixHolders(const RouteRequest &request, bool canAdd, Instant now, Candidates &found) const;
    bool isEligible(const RouteRequest &request, const Server &server, Instant now, Candidates &found) const;
    std::vector<BlockImport> findStoredBlocks(const RouteRequest &request, Instant now) const;
    Estimate estimateCost(const RouteRequest &request, const Candidate &candidate, std::span<const BlockImport> blocks, Instant now) const;
    Placement makePlacement(const Candidate &candidate, const Estimate &estimate, std::span<const BlockImport> blocks) const;

    RouterOptions m_options;
    const ServerTable &m_servers;
    CacheIndex &m_cache;
    StoreTable &m_stores;
    RouterHooks m_hooks;
};

/// Predicts how long a new request waits at @p server: the reported queue, less what the server has prefilled since, plus
/// requests of this entry VM that the report does not include yet.
std::chrono::nanoseconds predictedQueueTime(const Server &server, const RouterOptions &options, Instant now);

} // namespace auburndrum::decision
