#include "auburndrum/decision/weightrollout.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>

namespace auburndrum::decision {

namespace {

bool isLoading(const WeightRollout &rollout, const Server &server)
{
    return std::find(rollout.loading.begin(), rollout.loading.end(), server.id) != rollout.loading.end();
}

bool isServing(const Server &server)
{
    return !server.leaving && server.reported && !server.load.version.empty();
}

std::uint64_t busyness(const Server &server)
{
    return server.load.queuedPrefillTokens + server.load.running + server.inFlight;
}

} // namespace

std::vector<ServerId> nextLoads(const ServerTable &servers, const WeightRollout &rollout, const WeightRolloutOptions &options)
{
    std::vector<const Server *> idle;
    std::vector<const Server *> outdated;
    std::size_t serving = 0;
    std::size_t present = 0;
    for (const std::uint32_t slot : servers.ofService(rollout.service)) {
        const Server &server = servers.at(slot);
        if (server.leaving || !server.reported) {
            continue;
        }
        ++present;
        if (isLoading(rollout, server)) {
            continue;
        }
        if (!isServing(server)) {
            idle.push_back(&server);
            continue;
        }
        ++serving;
        if (server.load.version != rollout.wantedVersion) {
            outdated.push_back(&server);
        }
    }
    std::sort(outdated.begin(), outdated.end(), [](const Server *a, const Server *b) {
        return busyness(*a) < busyness(*b);
    });
    const auto share = static_cast<std::size_t>(std::floor(options.minServing * static_cast<double>(present)));
    const std::size_t keep = std::max<std::size_t>(share, 1);
    const std::size_t underWay = rollout.loading.size() + rollout.otherLoads;
    std::size_t room = options.maxLoads > underWay ? options.maxLoads - underWay : 0;
    std::vector<ServerId> chosen;
    for (const Server *it : idle) {
        if (room == 0) {
            return chosen;
        }
        chosen.push_back(it->id);
        --room;
    }
    for (const Server *it : outdated) {
        if (room == 0 || serving <= keep) {
            break;
        }
        chosen.push_back(it->id);
        --room;
        --serving;
    }
    return chosen;
}

std::string servingVersion(const ServerTable &servers, std::string_view service, absl::BitGenRef random)
{
    std::string chosen;
    std::size_t seen = 0;
    for (const std::uint32_t slot : servers.ofService(service)) {
        const Server &server = servers.at(slot);
        if (!isServing(server)) {
            continue;
        }
        ++seen;
        if (absl::Uniform<std::size_t>(random, 0, seen) == 0) {
            chosen = server.load.version;
        }
    }
    return chosen;
}

} // namespace auburndrum::decision
