#include "auburndrum/decision/claimowners.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace auburndrum::decision {

namespace {

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

std::vector<std::string> selectClaimOwners(const std::vector<std::string> &liveEntries, std::size_t n)
{
    std::vector<std::string> owners = liveEntries;
    const auto hasHigherHash = [](const std::string &a, const std::string &b) {
        const std::uint64_t hashA = hashOf(a, 0);
        const std::uint64_t hashB = hashOf(b, 0);
        return hashA != hashB ? hashA > hashB : a < b;
    };
    std::sort(owners.begin(), owners.end(), hasHigherHash);
    owners.resize(std::min(n, owners.size()));
    return owners;
}

std::string claimOwnerOf(const ClaimKey &key, const std::vector<std::string> &owners)
{
    const std::uint64_t seed = hashOf(key.key, hashOf(key.organisation, hashOf(key.service, 0)));
    std::string best;
    std::uint64_t bestHash = 0;
    for (const std::string &it : owners) {
        const std::uint64_t hash = hashOf(it, seed);
        if (best.empty() || hash > bestHash || (hash == bestHash && it < best)) {
            best = it;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace auburndrum::decision
