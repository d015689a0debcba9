#include "auburndrum/decision/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

MemberRecord record(const std::string &name, std::uint64_t incarnation = 1)
{
    return {name, name + ":1", "z", "r", incarnation, 0, Liveness::Alive, false};
}

MembershipOptions options()
{
    MembershipOptions options;
    options.self = record("self", 10);
    return options;
}

const Instant Start{1h};

/// Fails contacts with member "a" until it is suspected, at most ten times.
std::optional<MemberRecord> failContacts(Membership &membership, Instant now)
{
    std::optional<MemberRecord> suspect;
    for (int n = 0; n < 10 && !suspect; ++n) {
        suspect = membership.recordContactFailure("a", now);
    }
    return suspect;
}

} // namespace

TEST_CASE("a silent member becomes suspect, then dead, and is forgotten")
{
    Membership membership(options());
    membership.merge(record("a"), Start);
    const auto suspect = failContacts(membership, Start);
    REQUIRE(suspect);
    CHECK(suspect->liveness == Liveness::Suspect);
    CHECK(membership.advance(Start + 1s).recordsToSpread.empty());
    Instant now = Start;
    while (now < Start + 10s) {
        now += 1s;
        membership.advance(now);
    }
    REQUIRE(membership.find("a"));
    CHECK(membership.find("a")->state() == MemberState::Dead);
    now += 1s;
    while (now < Start + 700s) {
        now += 1s;
        membership.advance(now);
    }
    CHECK_FALSE(membership.find("a"));
}

TEST_CASE("a lagging platform list neither revives a dead member nor lets it be forgotten")
{
    Membership membership(options());
    membership.merge(record("a"), Start);
    MemberRecord dead = record("a");
    dead.liveness = Liveness::Dead;
    membership.merge(dead, Start);
    for (Instant now = Start; now < Start + 900s; now += 1s) {
        membership.setListedVms({{"a", "a:2", "z", "r", false}}, now);
        membership.advance(now);
    }
    REQUIRE(membership.find("a"));
    CHECK(membership.find("a")->state() == MemberState::Dead);
    CHECK(membership.find("a")->address() == "a:2");
    membership.setListedVms({}, Start + 900s);
    for (Instant now = Start + 900s; now < Start + 1502s; now += 1s) {
        membership.advance(now);
    }
    CHECK_FALSE(membership.find("a"));
}

TEST_CASE("a listed VM is only a candidate until its own record arrives, and is dropped when no longer listed")
{
    Membership membership(options());
    membership.setListedVms({{"a", "a:1", "z", "r", false}}, Start);
    REQUIRE(membership.find("a"));
    CHECK(membership.usableMembers().size() == 1);
    membership.merge(record("a"), Start);
    CHECK(membership.usableMembers().size() == 2);
    membership.setListedVms({{"a", "a:1", "z", "r", true}, {"b", "b:1", "z", "r", false}}, Start);
    CHECK(membership.find("a")->state() == MemberState::Leaving);
    membership.setListedVms({}, Start);
    CHECK(membership.find("a"));
    CHECK_FALSE(membership.find("b"));
}

TEST_CASE("a member stays leaving until its next incarnation, whatever older records arrive")
{
    const auto isLeavingAfterStaleRecord = [](MembershipOptions options) {
        Membership membership(std::move(options));
        MemberRecord leaving = record("a");
        leaving.leaving = true;
        membership.merge(record("a"), Start);
        membership.merge(leaving, Start);
        MemberRecord stale = record("a");
        stale.refutation = 3;
        membership.merge(stale, Start);
        return membership.find("a")->state() == MemberState::Leaving;
    };
    CHECK(isLeavingAfterStaleRecord(options()));
    MembershipOptions broken = options();
    broken.supersedes = [](const MemberRecord &incoming, const MemberRecord &current) {
        return incoming.refutation > current.refutation || incoming.leaving;
    };
    CHECK_FALSE(isLeavingAfterStaleRecord(broken));

    Membership membership(options());
    MemberRecord leaving = record("a");
    leaving.leaving = true;
    membership.merge(leaving, Start);
    membership.merge(record("a", 2), Start);
    CHECK(membership.find("a")->state() == MemberState::Alive);
}

TEST_CASE("a process that receives a record of its earlier incarnation takes a higher one")
{
    Membership membership(options());
    MemberRecord earlier = record("self", 50);
    earlier.leaving = true;
    const auto own = membership.merge(earlier, Start);
    REQUIRE(own);
    CHECK(own->incarnation == 51);
    CHECK_FALSE(own->leaving);
}

TEST_CASE("a process refutes a suspicion about itself and detects that another process has replaced it")
{
    Membership membership(options());
    MemberRecord suspect = record("self", 10);
    suspect.liveness = Liveness::Dead;
    suspect.refutation = 4;
    CHECK(membership.merge(suspect, Start)->refutation == 5);
    membership.setJoined();
    MemberRecord other = record("self", 60);
    other.address = "elsewhere:1";
    CHECK_FALSE(membership.merge(other, Start));
    CHECK(membership.isReplaced());
}

TEST_CASE("a process that was paused doesn't declare members dead that it could not reach before")
{
    const auto isAliveAfterPause = [](MembershipOptions options) {
        Membership membership(std::move(options));
        membership.merge(record("a"), Start);
        membership.advance(Start);
        failContacts(membership, Start);
        membership.advance(Start + 60s);
        return membership.find("a")->state() != MemberState::Dead;
    };
    CHECK(isAliveAfterPause(options()));
    MembershipOptions broken = options();
    broken.maxAdvanceGap = 1h;
    CHECK_FALSE(isAliveAfterPause(broken));
}

TEST_CASE("a member that refuted a suspicion is not suspected again for some time")
{
    Membership membership(options());
    membership.merge(record("a"), Start);
    REQUIRE(failContacts(membership, Start));
    MemberRecord refuted = record("a");
    refuted.refutation = 1;
    membership.merge(refuted, Start);
    CHECK_FALSE(failContacts(membership, Start + 1s));
    CHECK_FALSE(membership.isUsable(*membership.find("a")));
    CHECK(failContacts(membership, Start + 31s));
}

TEST_CASE("a full table evicts the member dead for longest and keeps living members")
{
    MembershipOptions small = options();
    small.maxMembers = 2;
    Membership membership(small);
    MemberRecord dead = record("a");
    membership.merge(dead, Start);
    dead.liveness = Liveness::Dead;
    membership.merge(dead, Start);
    membership.merge(record("b"), Start);
    membership.merge(record("c"), Start);
    membership.merge(record("d"), Start);
    CHECK_FALSE(membership.find("a"));
    CHECK(membership.find("b"));
    CHECK(membership.find("c"));
    CHECK_FALSE(membership.find("d"));
    CHECK(membership.advance(Start).forgottenNames == std::vector<std::string>{"a"});
}

TEST_CASE("records merge to the same state in any order and with duplicates")
{
    std::vector<MemberRecord> records;
    for (std::uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
        for (std::uint32_t refutation = 0; refutation < 3; ++refutation) {
            for (const Liveness liveness : {Liveness::Alive, Liveness::Suspect}) {
                records.push_back({"a", "a:1", "z", "r", incarnation, refutation, liveness, refutation > 1});
                records.push_back(records.back());
            }
        }
    }
    std::mt19937_64 random(4);
    const auto results = [&](const MembershipOptions &options) {
        std::set<RecordVersion> results;
        for (int n = 0; n < 200; ++n) {
            std::shuffle(records.begin(), records.end(), random);
            Membership membership(options);
            for (const MemberRecord &it : records) {
                membership.merge(it, Start);
            }
            results.insert(recordVersion(membership.find("a")->record));
        }
        return results.size();
    };
    CHECK(results(options()) == 1);
    MembershipOptions lastWins = options();
    lastWins.supersedes = [](const MemberRecord &, const MemberRecord &) {
        return true;
    };
    CHECK(results(lastWins) > 1);
}
