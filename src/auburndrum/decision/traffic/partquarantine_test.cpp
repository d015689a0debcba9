#include "auburndrum/decision/traffic/partquarantine.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Begin{1000s};

Prompt promptOf(std::vector<std::string> parts)
{
    Prompt it{.model = "m"};
    for (std::string &part : parts) {
        it.parts.push_back({std::move(part), 10});
    }
    return it;
}

const Prompt Bad = promptOf({"shared", "bad", "own"});
const Prompt Sound = promptOf({"shared", "sound", "own"});

/// Three engines end in turn under the bad part, with whole responses to sound requests between.
Instant crashThrice(PartQuarantine &it, Instant now)
{
    for (int n = 0; n < 3; ++n) {
        it.onWholeResponse("alive", Sound, true, now + 100ms);
        it.onLost("engine-" + std::to_string(n), Bad, now + 200ms, now + 300ms);
        now += 400ms;
    }
    it.onWholeResponse("alive", Sound, true, now);
    now += 1s;
    it.update(now);
    return now;
}

bool isKeptAway(const PartQuarantine &it, const Prompt &prompt, Instant now)
{
    return it.decide(prompt, now).admission == PartAdmission::Refused;
}

} // namespace

TEST_CASE("a part under which engines end one after the other is kept away, the parts beside it are not")
{
    PartQuarantine it({.vm = "a"});
    const Instant now = crashThrice(it, Begin);
    CHECK(isKeptAway(it, Bad, now));
    CHECK_FALSE(isKeptAway(it, Sound, now));
    CHECK_FALSE(isKeptAway(it, promptOf({"shared", "another", "own"}), now));
    CHECK(it.decide(Bad, now).part == "bad");
    CHECK(it.decide(Bad, now).retryAfter > 50s);
}

TEST_CASE("a part is kept away also when it comes first")
{
    PartQuarantine it({.vm = "a"});
    const Prompt first = promptOf({"bad", "rest", "own"});
    Instant now = Begin;
    for (int n = 0; n < 3; ++n) {
        it.onWholeResponse("alive", promptOf({"other", "rest", "own"}), true, now + 100ms);
        it.onLost("engine-" + std::to_string(n), first, now + 200ms, now + 300ms);
        now += 400ms;
    }
    it.onWholeResponse("alive", promptOf({"other", "rest", "own"}), true, now);
    it.update(now + 1s);
    CHECK(isKeptAway(it, first, now + 1s));
    CHECK_FALSE(isKeptAway(it, promptOf({"other", "rest", "own"}), now + 1s));
}

TEST_CASE("engines that end at the same moment don't put a part away")
{
    // Guards against an outage for a sound part whose engines were killed together.
    PartQuarantine it({.vm = "a"});
    it.onWholeResponse("alive", Sound, true, Begin);
    for (int n = 0; n < 12; ++n) {
        it.onLost("engine-" + std::to_string(n), Bad, Begin - 200ms, Begin + 1ms * n);
    }
    it.onWholeResponse("alive", Sound, true, Begin + 100ms);
    it.update(Begin + 2s);
    CHECK_FALSE(isKeptAway(it, Bad, Begin + 2s));
}

TEST_CASE("no part is put away while no server gives any response")
{
    // Guards against an outage that goes on for the hold of a part after its servers are back.
    PartQuarantine it({.vm = "a"});
    Instant now = Begin;
    for (int n = 0; n < 6; ++n) {
        it.onLost("engine-" + std::to_string(n), Bad, now, now + 100ms);
        now += 1s;
    }
    it.update(now);
    CHECK_FALSE(isKeptAway(it, Bad, now));
}

TEST_CASE("connections that end at a server which goes on responding are no crash")
{
    // Guards against a sound part whose responses a server breaks off now and then.
    PartQuarantine it({.vm = "a"});
    Instant now = Begin;
    for (int n = 0; n < 6; ++n) {
        it.onLost("engine", Bad, now, now + 100ms);
        it.onResponse("engine", now + 200ms, now + 250ms);
        it.onWholeResponse("engine", Sound, true, now + 300ms);
        now += 400ms;
    }
    it.update(now + 1s);
    CHECK_FALSE(isKeptAway(it, Bad, now + 1s));
}

TEST_CASE("a whole response ends the quarantine, one that only its connection's end ended does not")
{
    PartQuarantine it({.vm = "a"});
    Instant now = crashThrice(it, Begin);
    it.onWholeResponse("other", Bad, false, now);
    it.update(now + 1ms);
    CHECK(isKeptAway(it, Bad, now + 1ms));
    it.onWholeResponse("other", Bad, true, now + 2ms);
    const auto changes = it.update(now + 3ms);
    CHECK_FALSE(isKeptAway(it, Bad, now + 3ms));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].isLifted);
}

TEST_CASE("after the hold one request is tried, by one VM after the other, and a crash doubles the hold")
{
    // Guards against a part that is kept away for ever, and against trials by every VM at once.
    std::vector<PartQuarantine> vms;
    for (const char *name : {"a", "b", "c"}) {
        vms.emplace_back(PartQuarantineOptions{.vm = name});
        vms.back().setVms({"a", "b", "c"});
    }
    Instant now{};
    for (PartQuarantine &it : vms) {
        now = crashThrice(it, Begin);
    }
    const Instant due = now + 60s;
    const auto trying = [&](Instant at) {
        return std::count_if(vms.begin(), vms.end(), [&](const PartQuarantine &it) {
            return it.decide(Bad, at).admission == PartAdmission::Trial;
        });
    };
    CHECK(trying(due - 1s) == 0);
    CHECK(trying(due + 1s) == 1);
    const auto first = std::find_if(vms.begin(), vms.end(), [&](const PartQuarantine &it) {
        return it.decide(Bad, due + 1s).admission == PartAdmission::Trial;
    });
    first->onSent(first->decide(Bad, due + 1s), due + 1s);
    CHECK(trying(due + 2s) == 0);
    first->onLost("engine-9", Bad, due + 1s, due + 2s);
    first->update(due + 2s);
    for (PartQuarantine &it : vms) {
        it.merge(first->evidence(due + 2s), due + 2s);
    }
    CHECK(trying(due + 100s) == 0);
    CHECK(trying(due + 130s) == 1);
}

TEST_CASE("a VM that starts takes over the decisions of the others")
{
    PartQuarantine it({.vm = "a"});
    const Instant now = crashThrice(it, Begin);
    PartQuarantine started({.vm = "b"});
    CHECK(started.merge(it.evidence(now + 30s), now + 30s));
    CHECK(isKeptAway(started, Bad, now + 30s));
    CHECK_FALSE(started.merge(it.evidence(now + 31s), now + 31s));
}

TEST_CASE("another VM's response to a request with the part lifts the decision of all")
{
    PartQuarantine a({.vm = "a"});
    PartQuarantine b({.vm = "b"});
    Instant now = crashThrice(a, Begin);
    b.merge(a.evidence(now), now);
    b.onWholeResponse("other", Bad, true, now + 1s);
    b.update(now + 1s);
    a.merge(b.evidence(now + 1s), now + 1s);
    a.update(now + 1s);
    CHECK_FALSE(isKeptAway(a, Bad, now + 1s));
    CHECK_FALSE(isKeptAway(b, Bad, now + 1s));
}

TEST_CASE("memory for evidence is bounded")
{
    PartQuarantine it({.vm = "a"});
    for (int n = 0; n < 5000; ++n) {
        const std::string name = std::to_string(n);
        it.onLost("engine-" + name, promptOf({"p" + name, "q" + name, "own"}), Begin, Begin + 1ms * n);
        it.update(Begin + 1ms * n);
    }
    CHECK(it.evidence(Begin + 5s).crashes.size() <= 64);
    RecentResponses responses(100);
    for (int n = 0; n < 5000; ++n) {
        responses.record(std::to_string(n), Begin);
    }
    CHECK_FALSE(responses.find("0"));
    CHECK(responses.find("4999"));
}

TEST_CASE("a part that was served before is kept away after five crashes in a row, not after three")
{
    // Guards against an outage for a part whose servers ended a few times for another reason (LOST).
    PartQuarantine it({.vm = "a"});
    it.onWholeResponse("alive", Bad, true, Begin);
    Instant now = crashThrice(it, Begin + 1s);
    CHECK_FALSE(isKeptAway(it, Bad, now));
    for (int n = 3; n < 5; ++n) {
        it.onLost("engine-" + std::to_string(n), Bad, now + 200ms, now + 300ms);
        now += 400ms;
    }
    it.update(now + 1s);
    CHECK(isKeptAway(it, Bad, now + 1s));
}
