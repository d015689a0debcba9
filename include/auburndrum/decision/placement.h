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

/// What a request asks of the router.
struct RouteRequest
{
    std::string_view service;
    std::string_view weightVersion; ///< weight version that the service wants; empty accepts any
    std::span<const PieceKey> pieceKeys; ///< whole pieces of the prompt, oldest first
    std::uint32_t promptTokens = 0;
    std::uint32_t pieceTokens = 2000;
    std::chrono::nanoseconds firstTokenTimeout = std::chrono::seconds(5); ///< for the first token, from now on
    MeasureWeights costWeights;
    std::span<const ServerId> triedServers; ///< servers that earlier attempts used
};

/// Why a server was chosen.
enum class PlacementReason : std::uint8_t {
    Cached, ///< holds a part of the prompt in engine memory
    Imported, ///< reads a part of the prompt from a store VM
    PreferredServer, ///< the prompt is new and this is its home
    LeastLoad, ///< the prompt is new, or the home is too busy
};

/// One block to import before the prompt is computed.
struct BlockImport
{
    PieceKey key;
    StoredBlock block;
};

/// Where a request goes and what is expected there.
struct Placement
{
    ServerId server;
    std::string address;
    std::chrono::nanoseconds predictedFirstTokenTime{};
    std::chrono::nanoseconds predictedQueueTime{}; ///< part of the first token spent waiting
    std::uint32_t cachedTokens = 0; ///< expected in engine memory
    std::uint32_t recomputeTokens = 0;
    std::vector<BlockImport> imports; ///< oldest first
    std::uint64_t linkBytes = 0; ///< expected over the inter-region link
    double cost = 0; ///< equivalent seconds by the service's weights
    PlacementReason reason = PlacementReason::LeastLoad;
};

/// Why no server was chosen.
enum class RouteError : std::uint8_t {
    UnknownService, ///< no server of this service is known
    NoEligibleServer, ///< all are leaving, tried, broken or serve another version
    ServersBusy, ///< those that could take it have long queues: let it wait here, where the fair queue orders it
    Overloaded, ///< the first token is predicted past the deadline
};

/// A refusal, before anything was run.
struct RouteRefusal
{
    RouteError reason = RouteError::NoEligibleServer;
    std::chrono::milliseconds retryAfter{1000};
};

template<typename T>
using RouteResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, RouteRefusal, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Where the router stands.
struct RouterLocation
{
    std::string zone;
    std::string region;
};

/// Options of a Router. Times are one way.
struct RouterOptions
{
    RouterLocation location;
    std::chrono::nanoseconds intraZoneDelay = std::chrono::microseconds(100); ///< within the zone
    std::chrono::nanoseconds interZoneDelay = std::chrono::microseconds(1500); ///< to another zone of the region
    std::chrono::nanoseconds interRegionDelay = std::chrono::milliseconds(12); ///< to another region
    std::size_t fullScanLimit = 16; ///< up to this many servers, every one is a candidate
    std::size_t preferredCandidates = 3; ///< candidates in rendezvous order
    std::size_t affinityPiece = 2; ///< piece that decides the home; earlier ones may be shared by an organisation's prompts
    std::chrono::nanoseconds maxQueueTime = std::chrono::milliseconds(1500); ///< a server with a longer queue gets no more
    std::size_t randomCandidates = 4; ///< candidates at random
    std::size_t prefixHolderCandidates = 8; ///< candidates that hold the longest prefixes
    double preferredServerBonus = 0.1; ///< of the prompt's compute time, in favour of a new prompt's home
    std::chrono::nanoseconds equalCostMargin = std::chrono::milliseconds(5); ///< costs this close count as equal
    std::uint32_t expectedAnswerBytes = 2000; ///< expected size of an answer, for the link
    double defaultPrefillTokensPerSecond = 8000; ///< of a server that has not reported
    std::uint32_t runningLimit = 64; ///< of a server, before requests without prompt wait
};

/// Hooks of a Router.
struct RouterHooks
{
    /// False for a server that may not be used now, as by its circuit breaker or concurrency limit.
    std::function<bool(const Server &, Instant)> isUsable;
    /// Bytes per second now free on the link between two regions; nothing set means no limit.
    std::function<double(std::string_view from, std::string_view to)> freeLinkRate;
};

/// Chooses the backend server of each request. Reads tables that the caller keeps. Not thread-safe.
class Router
{
public:
    Router(const RouterOptions &options, const ServerTable &servers, CacheIndex &cache, StoreTable &stores, RouterHooks hooks = {});

    /// Chooses a server, or refuses at once.
    ///
    /// Among candidates whose cost is about equal the choice is random, so that entries with the same lagging load
    /// reports don't all pick the same server.
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
        bool skippedBusyServer = false; ///< a server was left out for its queue alone

        Candidate *find(const Server *server);
    };

    struct Estimate;

    Candidates findCandidates(const RouteRequest &request, Instant now, absl::BitGenRef random) const;
    void addAllServers(const RouteRequest &request, std::span<const std::uint32_t> slots, Instant now, Candidates &found) const;
    void addPreferredServers(const RouteRequest &request, std::span<const std::uint32_t> slots, Instant now, Candidates &found) const;
    void addRandomServers(const RouteRequest &request, std::span<const std::uint32_t> slots, Instant now, absl::BitGenRef random, Candidates &found) const;
    void addPrefixHolders(const RouteRequest &request, bool mayAdd, Instant now, Candidates &found) const;
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

/// Predicts how long @p server takes to get to a new request: the reported queue, less what it worked off since, plus
/// own requests that the report does not show.
std::chrono::nanoseconds predictedQueueTime(const Server &server, const RouterOptions &options, Instant now);

} // namespace auburndrum::decision
