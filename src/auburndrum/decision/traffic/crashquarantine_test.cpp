#include "auburndrum/decision/traffic/crashquarantine.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Begin{1000s};

/// The marks of a prompt with these parts, of which the last belongs to one request.
RequestMarks promptOf(const std::vector<std::string> &parts)
{
    Prompt it{.model = "m"};
    for (const std::string &part : parts) {
        it.parts.push_back({part, 10});
    }
    return marksOf(&it);
}

const RequestMarks Bad = promptOf({"shared", "bad", "own"});
const RequestMarks Sound = promptOf({"shared", "sound", "own"});

/// Three engines end in turn under the bad part, with whole responses to sound requests between.
Instant crashThrice(CrashQuarantine &it, Instant now)
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

bool isKeptAway(const CrashQuarantine &it, const RequestMarks &marks, Instant now)
{
    return it.decide(marks, now).admission == CrashAdmission::Refused;
}

} // namespace

TEST_CASE("a part under which engines end one after the other is kept away, the parts beside it are not")
{
    CrashQuarantine it({.vm = "a"});
    const Instant now = crashThrice(it, Begin);
    CHECK(isKeptAway(it, Bad, now));
    CHECK_FALSE(isKeptAway(it, Sound, now));
    CHECK_FALSE(isKeptAway(it, promptOf({"shared", "another", "own"}), now));
    CHECK(it.decide(Bad, now).mark == "bad");
    CHECK(it.decide(Bad, now).retryAfter > 50s);
}

TEST_CASE("a part is kept away also when it comes first")
{
    CrashQuarantine it({.vm = "a"});
    const RequestMarks first = promptOf({"bad", "rest", "own"});
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
    CrashQuarantine it({.vm = "a"});
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
    CrashQuarantine it({.vm = "a"});
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
    CrashQuarantine it({.vm = "a"});
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
    CrashQuarantine it({.vm = "a"});
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
    std::vector<CrashQuarantine> vms;
    for (const char *name : {"a", "b", "c"}) {
        vms.emplace_back(CrashQuarantineOptions{.vm = name});
        vms.back().setVms({"a", "b", "c"});
    }
    Instant now{};
    for (CrashQuarantine &it : vms) {
        now = crashThrice(it, Begin);
    }
    const Instant due = now + 60s;
    const auto trying = [&](Instant at) {
        return std::count_if(vms.begin(), vms.end(), [&](const CrashQuarantine &it) {
            return it.decide(Bad, at).admission == CrashAdmission::Trial;
        });
    };
    CHECK(trying(due - 1s) == 0);
    CHECK(trying(due + 1s) == 1);
    const auto first = std::find_if(vms.begin(), vms.end(), [&](const CrashQuarantine &it) {
        return it.decide(Bad, due + 1s).admission == CrashAdmission::Trial;
    });
    first->onSent(first->decide(Bad, due + 1s), due + 1s);
    CHECK(trying(due + 2s) == 0);
    first->onLost("engine-9", Bad, due + 1s, due + 2s);
    first->update(due + 2s);
    for (CrashQuarantine &it : vms) {
        it.merge(first->evidence(due + 2s), due + 2s);
    }
    CHECK(trying(due + 100s) == 0);
    CHECK(trying(due + 130s) == 1);
}

TEST_CASE("a VM that starts takes over the decisions of the others")
{
    CrashQuarantine it({.vm = "a"});
    const Instant now = crashThrice(it, Begin);
    CrashQuarantine started({.vm = "b"});
    CHECK(started.merge(it.evidence(now + 30s), now + 30s));
    CHECK(isKeptAway(started, Bad, now + 30s));
    CHECK_FALSE(started.merge(it.evidence(now + 31s), now + 31s));
}

TEST_CASE("another VM's response to a request with the part lifts the decision of all")
{
    CrashQuarantine a({.vm = "a"});
    CrashQuarantine b({.vm = "b"});
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
    CrashQuarantine it({.vm = "a"});
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
    CrashQuarantine it({.vm = "a"});
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

TEST_CASE("of a request and its parts that explain the same crashes, the request is kept away")
{
    // Guards against an outage for all requests with a part of one request that crashes its servers (LOST).
    CrashQuarantine it({.vm = "a"});
    RequestMarks bad = promptOf({"shared", "a session", "last"}); // a name that comes before the request's
    bad.push_back("request:1:2");
    Instant now = Begin;
    for (int n = 0; n < 3; ++n) {
        it.onWholeResponse("alive", Sound, true, now + 100ms);
        it.onLost("engine-" + std::to_string(n), bad, now + 200ms, now + 300ms);
        now += 400ms;
    }
    it.onWholeResponse("alive", Sound, true, now);
    it.update(now + 1s);
    CHECK(it.decide(bad, now + 1s).mark == "request:1:2");
    CHECK_FALSE(isKeptAway(it, promptOf({"shared", "a session", "other"}), now + 1s));
    CHECK(it.keepsAwayWithin("request:1:"));
    CHECK_FALSE(it.keepsAwayWithin("request:2:"));
}

TEST_CASE("a request that comes again after minutes is tried once by one VM, not let through anew")
{
    // Guards against a request that comes seldom and ends three servers anew each time that its decision was forgotten (BUDGET).
    CrashQuarantine it({.vm = "a"});
    it.setVms({"a"});
    Instant now = crashThrice(it, Begin);
    for (int n = 0; n < 4; ++n) {
        now += 5min;
        it.update(now);
        const CrashDecision decision = it.decide(Bad, now);
        CHECK(decision.admission != CrashAdmission::Allowed);
        if (decision.admission == CrashAdmission::Trial) {
            it.onSent(decision, now);
            it.onLost("engine-late-" + std::to_string(n), Bad, now, now + 100ms);
        }
        it.update(now + 1s);
        CHECK(isKeptAway(it, Bad, now + 2s));
    }
    it.update(now + 2h);
    CHECK(it.keptAway() == 0);
}

TEST_CASE("of more marks than a message tells, those that most crashes name are told")
{
    // Guards against VMs that don't hear of the cause among all that was lost in a crash (BUDGET).
    CrashQuarantine it({.vm = "a"});
    for (int n = 0; n < 6; ++n) {
        RequestMarks marks = {"request:1:2"};
        for (int k = 0; k < 90; ++k) {
            marks.push_back("request:" + std::to_string(n) + ":" + std::to_string(1000 + k));
        }
        it.onLost("server-" + std::to_string(n), marks, Begin + 100ms * n, Begin + 100ms * n + 50ms);
    }
    const CrashEvidence evidence = it.evidence(Begin + 1s);
    REQUIRE(evidence.crashes.size() == 6);
    for (const CrashReport &crash : evidence.crashes) {
        CHECK(crash.lostMarks.size() < 90);
        CHECK(crash.lostMarks.contains("request:1:2"));
    }
}
