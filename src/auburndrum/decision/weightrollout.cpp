#include "auburndrum/decision/weightrollout.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>

namespace auburndrum::decision {

namespace {

bool isLoading(const WeightRollout &rollout, const Server &server)
{
    return std::find(rollout.loadingServers.begin(), rollout.loadingServers.end(), server.id) != rollout.loadingServers.end();
}

bool isServing(const Server &server)
{
    return !server.leaving && server.hasLoadReport && !server.load.weightVersion.empty();
}

std::uint64_t busyness(const Server &server)
{
    return server.load.queuedPrefillTokens + server.load.runningRequests + server.inFlight;
}

} // namespace

std::vector<ServerId> serversToLoad(const ServerTable &servers, const WeightRollout &rollout, const WeightRolloutOptions &options)
{
    std::vector<const Server *> idle;
    std::vector<const Server *> outdated;
    std::size_t serving = 0;
    std::size_t reportingServers = 0;
    for (const std::uint32_t slot : servers.slotsOfService(rollout.service)) {
        const Server &server = servers.at(slot);
        if (server.leaving || !server.hasLoadReport) {
            continue;
        }
        ++reportingServers;
        if (isLoading(rollout, server)) {
            continue;
        }
        if (!isServing(server)) {
            idle.push_back(&server);
            continue;
        }
        ++serving;
        if (server.load.weightVersion != rollout.desiredVersion) {
            outdated.push_back(&server);
        }
    }
    std::sort(outdated.begin(), outdated.end(), [](const Server *a, const Server *b) {
        return busyness(*a) < busyness(*b);
    });
    const auto share = static_cast<std::size_t>(std::floor(options.minServingShare * static_cast<double>(reportingServers)));
    const std::size_t minServers = std::max<std::size_t>(share, 1);
    const std::size_t activeLoads = rollout.loadingServers.size() + rollout.otherServiceLoads;
    std::size_t freeLoads = options.maxConcurrentLoads > activeLoads ? options.maxConcurrentLoads - activeLoads : 0;
    std::vector<ServerId> chosen;
    for (const Server *it : idle) {
        if (freeLoads == 0) {
            return chosen;
        }
        chosen.push_back(it->id);
        --freeLoads;
    }
    for (const Server *it : outdated) {
        if (freeLoads == 0 || serving <= minServers) {
            break;
        }
        chosen.push_back(it->id);
        --freeLoads;
        --serving;
    }
    return chosen;
}

std::string chooseServedVersion(const ServerTable &servers, std::string_view service, absl::BitGenRef random)
{
    std::string chosen;
    std::size_t seen = 0;
    for (const std::uint32_t slot : servers.slotsOfService(service)) {
        const Server &server = servers.at(slot);
        if (!isServing(server)) {
            continue;
        }
        ++seen;
        if (absl::Uniform<std::size_t>(random, 0, seen) == 0) {
            chosen = server.load.weightVersion;
        }
    }
    return chosen;
}

} // namespace auburndrum::decision
