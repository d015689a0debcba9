#include "auburndrum/decision/placement.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

// Finalizer of splitmix64: mixes the two hashes so that each prefix orders the servers independently.
std::uint64_t rendezvousWeight(std::uint64_t prefix, std::uint64_t server)
{
    std::uint64_t hash = prefix ^ server;
    hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9U;
    hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBU;
    return hash ^ (hash >> 31U);
}

} // namespace

Router::Candidate *Router::Candidates::find(const Server *server)
{
    const auto it = std::find_if(list.begin(), list.end(), [&](const Candidate &candidate) {
        return candidate.server == server;
    });
    return it == list.end() ? nullptr : &*it;
}

bool Router::isEligible(const RouteRequest &request, const Server &server, Instant now, Candidates &found) const
{
    if (server.leaving) {
        return false;
    }
    const bool servesOtherVersion = !request.weightVersion.empty() && !server.load.weightVersion.empty() && server.load.weightVersion != request.weightVersion;
    if (servesOtherVersion || std::find(request.triedServers.begin(), request.triedServers.end(), server.id) != request.triedServers.end()) {
        return false;
    }
    if (m_hooks.isUsable && !m_hooks.isUsable(server, now)) {
        return false;
    }
    const bool isBusy = predictedQueueTime(server, m_options, now) > m_options.maxQueueTime;
    found.skippedBusyServer = found.skippedBusyServer || isBusy;
    return !isBusy;
}

Router::Candidates Router::findCandidates(const RouteRequest &request, Instant now, absl::BitGenRef random) const
{
    Candidates found;
    const std::vector<std::uint32_t> &slots = m_servers.slotsOfService(request.service);
    const bool isFullScan = slots.size() <= m_options.fullScanLimit;
    if (isFullScan) {
        addAllServers(request, slots, now, found);
    }
    addPreferredServers(request, slots, now, found);
    if (!isFullScan) {
        addRandomServers(request, slots, now, random, found);
    }
    addPrefixHolders(request, !isFullScan, now, found);
    return found;
}

void Router::addAllServers(const RouteRequest &request, std::span<const std::uint32_t> slots, Instant now, Candidates &found) const
{
    for (const std::uint32_t slot : slots) {
        const Server &server = m_servers.at(slot);
        if (isEligible(request, server, now, found)) {
            found.list.push_back({&server, 0, false});
        }
    }
}

void Router::addPreferredServers(const RouteRequest &request, std::span<const std::uint32_t> slots, Instant now, Candidates &found) const
{
    if (request.pieceKeys.empty() || slots.empty()) {
        return;
    }
    struct RankedServer
    {
        std::uint64_t weight = 0;
        const Server *server = nullptr;
    };
    const PieceKey &affinityKey = request.pieceKeys[std::min(m_options.affinityPiece, request.pieceKeys.size() - 1)];
    absl::InlinedVector<RankedServer, 8> best(std::max<std::size_t>(m_options.preferredCandidates, 1));
    std::size_t n = 0;
    for (const std::uint64_t hash : m_servers.hashesOfService(request.service)) {
        const std::uint32_t slot = slots[n++];
        const std::uint64_t weight = rendezvousWeight(affinityKey.hashLow, hash);
        if (weight < best.back().weight || !isEligible(request, m_servers.at(slot), now, found)) {
            continue;
        }
        const Server &server = m_servers.at(slot);
        best.back() = {weight, &server};
        std::sort(best.begin(), best.end(), [](const RankedServer &a, const RankedServer &b) {
            return a.weight > b.weight;
        });
    }
    bool first = true;
    for (const RankedServer &it : best) {
        if (it.server == nullptr) {
            continue;
        }
        if (Candidate *known = found.find(it.server)) {
            known->isPreferred = first;
        } else {
            found.list.push_back({it.server, 0, first});
        }
        first = false;
    }
}

void Router::addRandomServers(const RouteRequest &request, std::span<const std::uint32_t> slots, Instant now, absl::BitGenRef random, Candidates &found) const
{
    // Extra draws make up for ineligible servers and for those drawn twice.
    std::size_t missing = m_options.randomCandidates;
    for (std::size_t n = 0; n < 4 * m_options.randomCandidates && missing > 0; ++n) {
        const Server &server = m_servers.at(slots[absl::Uniform<std::size_t>(random, 0, slots.size())]);
        if (found.find(&server) != nullptr || !isEligible(request, server, now, found)) {
            continue;
        }
        found.list.push_back({&server, 0, false});
        --missing;
    }
}

void Router::addPrefixHolders(const RouteRequest &request, bool canAdd, Instant now, Candidates &found) const
{
    PrefixDepths depths = m_cache.prefixDepths(request.pieceKeys);
    std::sort(depths.begin(), depths.end(), [](const PrefixDepth &a, const PrefixDepth &b) {
        return a.pieces > b.pieces;
    });
    std::size_t added = 0;
    for (const PrefixDepth &it : depths) {
        const Server *server = m_servers.find(it.server);
        if (server == nullptr) {
            continue;
        }
        if (Candidate *known = found.find(server)) {
            known->cachedPieces = it.pieces;
            continue;
        }
        const bool isWanted = canAdd && added < m_options.prefixHolderCandidates;
        if (!isWanted || m_servers.names().name(server->service) != request.service || !isEligible(request, *server, now, found)) {
            continue;
        }
        found.list.push_back({server, it.pieces, false});
        ++added;
    }
}

} // namespace auburndrum::decision
