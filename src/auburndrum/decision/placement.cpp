#include "auburndrum/decision/placement.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

using Seconds = std::chrono::duration<double>;
constexpr double BytesPerMegabyte = 1e6;
constexpr double TokensPerCostUnit = 1000;
constexpr std::chrono::milliseconds MinRetryDelay{1000};

std::chrono::nanoseconds toNanoseconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(seconds));
}

std::chrono::milliseconds retryAfter(std::chrono::nanoseconds predicted, std::chrono::nanoseconds deadline)
{
    return std::max(MinRetryDelay, std::chrono::ceil<std::chrono::milliseconds>(predicted - deadline));
}

} // namespace

struct Router::Estimate
{
    double cost = 0;
    std::chrono::nanoseconds firstTokenTime{};
    std::chrono::nanoseconds queueTime{};
    std::uint32_t cachedTokens = 0;
    std::uint32_t recomputeTokens = 0;
    std::uint32_t importCount = 0; ///< blocks to import, which follow the cached pieces
    std::uint64_t linkBytes = 0;
};

Router::Router(const RouterOptions &options, const ServerTable &servers, CacheIndex &cache, StoreTable &stores, RouterHooks hooks)
    : m_options(options)
    , m_servers(servers)
    , m_cache(cache)
    , m_stores(stores)
    , m_hooks(std::move(hooks))
{
}

RouteResult<Placement> Router::choose(const RouteRequest &request, Instant now, absl::BitGenRef random) const
{
    if (m_servers.slotsOfService(request.service).empty()) {
        return RouteRefusal{RouteError::UnknownService, MinRetryDelay};
    }
    const Candidates found = findCandidates(request, now, random);
    if (found.list.empty()) {
        return RouteRefusal{found.skippedBusyServer ? RouteError::ServersBusy : RouteError::NoEligibleServer, MinRetryDelay};
    }
    const std::vector<BlockImport> blocks = findStoredBlocks(request, now);
    absl::InlinedVector<Estimate, 24> estimates;
    for (const Candidate &it : found.list) {
        estimates.push_back(estimateCost(request, it, blocks, now));
    }
    const auto best = std::min_element(estimates.begin(), estimates.end(), [](const Estimate &a, const Estimate &b) {
        return a.cost < b.cost;
    });
    const double maxCost = best->cost + Seconds(m_options.equalCostMargin).count();
    std::size_t chosen = 0;
    std::size_t closeCount = 0;
    for (std::size_t n = 0; n < estimates.size(); ++n) {
        if (estimates[n].cost > maxCost) {
            continue;
        }
        ++closeCount;
        if (absl::Uniform<std::size_t>(random, 0, closeCount) == 0) {
            chosen = n;
        }
    }
    if (estimates[chosen].firstTokenTime > request.firstTokenTimeout) {
        return RouteRefusal{RouteError::Overloaded, retryAfter(estimates[chosen].firstTokenTime, request.firstTokenTimeout)};
    }
    return makePlacement(found.list[chosen], estimates[chosen], blocks);
}

std::vector<BlockImport> Router::findStoredBlocks(const RouteRequest &request, Instant now) const
{
    std::vector<BlockImport> blocks;
    for (const PieceKey &key : request.pieceKeys) {
        const StoredBlock *block = m_stores.find(key, now);
        blocks.push_back({key, block != nullptr ? *block : StoredBlock{}});
    }
    return blocks;
}

Router::Estimate Router::estimateCost(const RouteRequest &request, const Candidate &candidate, std::span<const BlockImport> blocks, Instant now) const
{
    const Server &server = *candidate.server;
    const std::string_view region = m_servers.names().name(server.region);
    const bool otherRegion = region != m_options.location.region;
    const bool sameZone = m_servers.names().name(server.zone) == m_options.location.zone;
    const std::chrono::nanoseconds oneWayDelay = otherRegion ? m_options.interRegionDelay : sameZone ? m_options.intraZoneDelay : m_options.interZoneDelay;
    const std::uint64_t forwardBytes = otherRegion ? std::uint64_t{request.promptTokens} * BytesPerToken + m_options.expectedAnswerBytes : 0;
    double forwardSeconds = 0;
    if (otherRegion && m_hooks.freeLinkRate) {
        forwardSeconds = static_cast<double>(forwardBytes) / std::max(m_hooks.freeLinkRate(m_options.location.region, region), 1.0);
    }
    const bool hasReportedRate = server.hasLoadReport && server.load.prefillTokensPerSecond > 0;
    const double prefillRate = hasReportedRate ? server.load.prefillTokensPerSecond : m_options.defaultPrefillTokensPerSecond;
    const std::chrono::nanoseconds queue = predictedQueueTime(server, m_options, now);

    Estimate best;
    std::uint64_t importBytes = 0;
    std::uint64_t importLinkBytes = 0;
    double importSeconds = 0;
    for (std::size_t reused = candidate.cachedPieces;; ++reused) {
        // The engine always prefills at least one token.
        const auto reusedTokens = static_cast<std::uint32_t>(reused * request.pieceTokens);
        const std::uint32_t recompute = request.promptTokens > reusedTokens ? request.promptTokens - reusedTokens : std::min(request.promptTokens, 1U);
        Estimate it;
        // Imports run while the request waits in the server's queue.
        const double startSeconds = std::max(Seconds(queue).count(), importSeconds);
        const double firstTokenSeconds = Seconds(2 * oneWayDelay).count() + forwardSeconds + startSeconds + recompute / prefillRate;
        it.firstTokenTime = toNanoseconds(firstTokenSeconds);
        it.queueTime = queue;
        it.recomputeTokens = recompute;
        it.cachedTokens = candidate.cachedPieces * request.pieceTokens;
        it.importCount = static_cast<std::uint32_t>(reused - candidate.cachedPieces);
        it.linkBytes = forwardBytes + importLinkBytes;
        it.cost = request.costWeights.firstToken * firstTokenSeconds + request.costWeights.recompute * recompute / TokensPerCostUnit
            + request.costWeights.link * static_cast<double>(it.linkBytes) / BytesPerMegabyte;
        if (reused == candidate.cachedPieces || it.cost < best.cost) {
            best = it;
        }
        if (reused >= blocks.size() || blocks[reused].block.length == 0) {
            break;
        }
        const StoredBlock &block = blocks[reused].block;
        importBytes += block.length;
        importSeconds = Seconds(m_stores.predictedReadTime(block, importBytes)).count();
        const Store &store = m_stores.at(block.store);
        if (store.region != region) {
            importLinkBytes += block.length;
            const double linkRate = m_hooks.freeLinkRate ? std::max(m_hooks.freeLinkRate(store.region, region), 1.0) : store.memoryBytesPerSecond;
            importSeconds += 2 * Seconds(m_options.interRegionDelay).count() + static_cast<double>(importLinkBytes) / linkRate;
        }
    }
    if (candidate.isPreferred) {
        best.cost -= m_options.preferredServerBonus * request.costWeights.firstToken * request.promptTokens / prefillRate;
    }
    return best;
}

Placement Router::makePlacement(const Candidate &candidate, const Estimate &estimate, std::span<const BlockImport> blocks) const
{
    Placement placement;
    placement.server = candidate.server->id;
    placement.address = candidate.server->address;
    placement.predictedFirstTokenTime = estimate.firstTokenTime;
    placement.predictedQueueTime = estimate.queueTime;
    placement.cachedTokens = estimate.cachedTokens;
    placement.recomputeTokens = estimate.recomputeTokens;
    placement.linkBytes = estimate.linkBytes;
    placement.cost = estimate.cost;
    const auto imports = blocks.subspan(std::min<std::size_t>(candidate.cachedPieces, blocks.size()), estimate.importCount);
    placement.imports.assign(imports.begin(), imports.end());
    if (!placement.imports.empty()) {
        placement.reason = PlacementReason::Imported;
    } else if (candidate.cachedPieces > 0) {
        placement.reason = PlacementReason::Cached;
    } else if (candidate.isPreferred) {
        placement.reason = PlacementReason::PreferredServer;
    }
    return placement;
}

} // namespace auburndrum::decision
