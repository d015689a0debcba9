#include "auburndrum/decision/claimowners.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace auburndrum::decision;

namespace {

std::vector<std::string> entriesTo(std::size_t n)
{
    std::vector<std::string> names;
    for (std::size_t it = 0; it < n; ++it) {
        names.push_back("entry-" + std::to_string(it));
    }
    return names;
}

ClaimKey keyOf(int n)
{
    return {"orders", "lounas", std::to_string(n)};
}

} // namespace

TEST_CASE("the selection has a fixed number of owners and does not depend on the order of the entry VMs")
{
    std::vector<std::string> names = entriesTo(40);
    const auto owners = selectClaimOwners(names);
    CHECK(owners.size() == ClaimOwnersPerRegion);
    std::reverse(names.begin(), names.end());
    CHECK(selectClaimOwners(names) == owners);
    CHECK(selectClaimOwners(entriesTo(2)).size() == 2);
}

TEST_CASE("the loss of one owner reassigns only the keys of that owner")
{
    const auto owners = selectClaimOwners(entriesTo(40));
    const std::vector<std::string> left(owners.begin() + 1, owners.end());
    std::map<std::string, int> counts;
    for (int n = 0; n < 3000; ++n) {
        const std::string owner = claimOwnerOf(keyOf(n), owners);
        ++counts[owner];
        if (owner != owners[0]) {
            CHECK(claimOwnerOf(keyOf(n), left) == owner);
        }
    }
    for (const auto &[name, n] : counts) {
        CHECK(n > 800);
    }
}

TEST_CASE("a key has no owner when there are no owners")
{
    CHECK(claimOwnerOf(keyOf(1), {}).empty());
}
