#include "workload.h"

#include <absl/random/distributions.h>

#include <cmath>

namespace auburndrum::bench {

namespace {

constexpr double GapSpread = 0.8; // sigma of the log-normal around a context's mean gap

std::uint64_t mix(std::uint64_t hash)
{
    hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9U;
    hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBU;
    return hash ^ (hash >> 31U);
}

std::uint32_t zoneByEntries(const Profile &profile, absl::BitGenRef random)
{
    std::uint32_t entries = 0;
    std::uint32_t chosen = 0;
    std::uint32_t n = 0;
    for (const ZoneProfile &it : profile.zones) {
        entries += it.entries;
        if (absl::Uniform<std::uint32_t>(random, 0, entries) < it.entries) {
            chosen = n;
        }
        ++n;
    }
    return chosen;
}

} // namespace

std::vector<Context> makeContexts(const Profile &profile, double load, absl::BitGenRef random)
{
    const double logMin = std::log(toSeconds(profile.minGap));
    const double logMax = std::log(toSeconds(profile.maxGap));
    std::vector<Context> contexts;
    double rate = 0;
    while (rate < profile.requestsPerSecond() * load) {
        Context it;
        it.id = static_cast<std::uint32_t>(contexts.size());
        it.organisation = absl::Zipf<std::uint32_t>(random, profile.organisations - 1, 1.5);
        it.tokens = static_cast<std::uint32_t>(absl::LogUniform<std::int64_t>(random, profile.minPromptTokens, profile.maxPromptTokens));
        it.zone = zoneByEntries(profile, random);
        it.meanGapSeconds = std::exp(absl::Uniform(random, logMin, logMax));
        rate += 1 / it.meanGapSeconds;
        contexts.push_back(it);
    }
    return contexts;
}

std::chrono::nanoseconds nextGap(const Context &context, absl::BitGenRef random)
{
    const double factor = std::exp(absl::Gaussian(random, -GapSpread * GapSpread / 2, GapSpread));
    return seconds(context.meanGapSeconds * factor);
}

std::uint32_t callerZone(const Profile &profile, const Context &context, absl::BitGenRef random)
{
    return absl::Bernoulli(random, profile.roaming) ? zoneByEntries(profile, random) : context.zone;
}

std::vector<decision::PieceKey> contextKeys(const Context &context, std::uint32_t version)
{
    std::vector<decision::PieceKey> keys(context.tokens / PieceTokens);
    std::uint64_t hash = mix(context.organisation + 1) ^ mix(version + 1000);
    std::uint64_t piece = 0;
    for (decision::PieceKey &it : keys) {
        it = {context.organisation, version, mix(hash + 1), hash};
        hash = mix(hash + mix(++piece + (std::uint64_t{context.id} + 1) * 1'000'003));
    }
    return keys;
}

} // namespace auburndrum::bench
