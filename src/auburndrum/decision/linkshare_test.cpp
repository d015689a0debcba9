#include "auburndrum/decision/configcatchup.h"
#include "auburndrum/decision/linkshare.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Capacity = 1000;
const Instant Start{1h};

MemberRecord record(const std::string &name)
{
    return {name, name, "zone-1", "region-1", 1, 0, Liveness::Alive, false};
}

Membership pair(const std::string &self, const std::string &other)
{
    MembershipOptions options;
    options.self = record(self);
    Membership membership(options);
    membership.merge(record(other), Start);
    return membership;
}

/// Raises the demand of "b" while "a" uses the whole link; "a" receives the new demand two seconds late. Returns the highest sum of both shares.
std::uint64_t maxTotalShareWhileDemandRises(LinkShareOptions options)
{
    options.capacityBytesPerSecond = Capacity;
    const Membership atA = pair("a", "b");
    const Membership atB = pair("b", "a");
    LinkShare a(options);
    LinkShare b(options);
    a.setOwnDemand(Capacity);
    a.setPeerDemand("b", 0);
    b.setOwnDemand(0);
    b.setPeerDemand("a", Capacity);
    std::uint64_t maxTotal = 0;
    for (Instant now = Start; now < Start + 40s; now += 1s) {
        if (now == Start + 20s) {
            b.setOwnDemand(Capacity);
        }
        if (now == Start + 22s) {
            a.setPeerDemand("b", Capacity);
        }
        a.update(atA, now);
        b.update(atB, now);
        maxTotal = std::max(maxTotal, a.bytesPerSecond() + b.bytesPerSecond());
    }
    CHECK(b.bytesPerSecond() == Capacity / 2);
    return maxTotal;
}

} // namespace

TEST_CASE("a split meets small demands in full, divides the rest equally and stays within the capacity")
{
    const auto shares = splitLinkCapacity(Capacity, {{"a", 100}, {"b", 5000}, {"c", 5000}});
    CHECK(shares.at("a") == 100);
    CHECK(shares.at("b") == 450);
    CHECK(shares.at("c") == 450);
    CHECK(splitLinkCapacity(Capacity, {}).empty());
}

TEST_CASE("shares stay within the link's capacity together while an entry VM takes back unused capacity from another")
{
    CHECK(maxTotalShareWhileDemandRises({}) <= Capacity);
    LinkShareOptions broken;
    broken.raiseAtOnce = true;
    CHECK(maxTotalShareWhileDemandRises(broken) > Capacity);
}

TEST_CASE("a dead member's share is redistributed only once the platform no longer lists it")
{
    Membership membership = pair("a", "b");
    membership.setListedVms({{"b", "b", "zone-1", "region-1", false}}, Start);
    MemberRecord dead = record("b");
    dead.liveness = Liveness::Dead;
    membership.merge(dead, Start);
    LinkShareOptions options;
    options.capacityBytesPerSecond = Capacity;
    LinkShare share(options);
    share.setOwnDemand(Capacity);
    Instant now = Start;
    const auto settle = [&] {
        for (int n = 0; n < 10; ++n) {
            now += 1s;
            share.update(membership, now);
        }
    };
    settle();
    CHECK(share.bytesPerSecond() == Capacity / 2);
    membership.setListedVms({}, now);
    settle();
    CHECK(share.bytesPerSecond() == Capacity);
}

TEST_CASE("a zone has exactly as many configuration readers as requested, and each knows that it is one")
{
    constexpr int Members = 17;
    std::vector<MemberRecord> zone;
    zone.reserve(Members);
    for (int n = 0; n < Members; ++n) {
        zone.push_back(record("entry-" + std::to_string(n)));
    }
    int readers = 0;
    for (const MemberRecord &it : zone) {
        readers += isConfigReader(it, zone, 2) ? 1 : 0;
    }
    CHECK(readers == 2);
    zone.resize(2);
    CHECK(isConfigReader(zone[0], zone, 2));
    CHECK(isConfigReader(zone[1], zone, 2));
}

TEST_CASE("only one fetch of configuration runs at a time, from the peer furthest ahead, and never for a lower offset")
{
    ConfigCatchUp catchUp;
    catchUp.setOwnOffset(10);
    CHECK_FALSE(catchUp.onPeerOffset("a", 10));
    CHECK(catchUp.onPeerOffset("a", 12) == "a");
    CHECK_FALSE(catchUp.onPeerOffset("b", 20));
    catchUp.setOwnOffset(12);
    CHECK(catchUp.onFetchFinished(true) == "b");
    CHECK_FALSE(catchUp.onFetchFinished(false));
    CHECK(catchUp.onPeerOffset("c", 13) == "c");
    CHECK_FALSE(catchUp.isNewerThanOwn(12));
    CHECK_FALSE(catchUp.isNewerThanOwn(11));
    catchUp.setOwnOffset(5);
    CHECK(catchUp.ownOffset() == 12);
}
