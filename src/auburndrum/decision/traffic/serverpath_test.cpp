#include "auburndrum/decision/traffic/serverpath.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Begin{1000s};

ServerPath cutPath()
{
    ServerPath it;
    it.onUnreachable("a", 12, Begin);
    it.onUnreachable("b", 12, Begin);
    CHECK(it.onUnreachable("c", 12, Begin));
    return it;
}

} // namespace

TEST_CASE("a VM counts as cut off when several servers are out of reach and none responds in between")
{
    // Guards against a VM that blames its servers for a cut of its own, and against one server's end that is taken for a cut (RECOVER).
    ServerPath it;
    for (int n = 0; n < 10; ++n) {
        CHECK_FALSE(it.onUnreachable("a", 12, Begin));
    }
    CHECK_FALSE(it.onUnreachable("b", 12, Begin));
    CHECK_FALSE(it.onReached({}, Begin));
    CHECK_FALSE(it.onUnreachable("b", 12, Begin));
    CHECK_FALSE(it.onUnreachable("c", 12, Begin));
    CHECK_FALSE(it.isCut());
    CHECK(it.onUnreachable("d", 12, Begin));
    CHECK(it.isCut());
    ServerPath one;
    CHECK(one.onUnreachable("only", 1, Begin));
}

TEST_CASE("after one server was out of reach others are tried once a second")
{
    ServerPath it;
    CHECK_FALSE(it.takeSuspicion(Begin));
    it.onUnreachable("a", 12, Begin);
    CHECK(it.takeSuspicion(Begin));
    CHECK_FALSE(it.takeSuspicion(Begin + 900ms));
    CHECK(it.takeSuspicion(Begin + 1s));
}

TEST_CASE("a cut ends with the trial after a connection, or with any response")
{
    // Guards against a VM that stays cut off in its own view, and against one that sends all its requests into a path that only seems open (RECOVER).
    ServerPath it = cutPath();
    CHECK_FALSE(it.takeTrial(true, Begin + 1s));
    CHECK(it.takeProbe(Begin + 250ms));
    CHECK_FALSE(it.takeProbe(Begin + 300ms));
    it.onProbeConnected(Begin + 260ms);
    CHECK_FALSE(it.takeTrial(false, Begin + 261ms));
    CHECK(it.takeTrial(true, Begin + 262ms));
    CHECK_FALSE(it.takeTrial(true, Begin + 263ms));
    CHECK(it.onReached({}, Begin + 264ms));
    CHECK_FALSE(it.isCut());
    CHECK_FALSE(it.onReached({}, Begin + 265ms));
}

TEST_CASE("trials that fail become rarer, and without a request that may run again another one is the trial")
{
    ServerPath it = cutPath();
    Instant now = Begin;
    int trials = 0;
    for (; now < Begin + 20s; now += 10ms) {
        if (it.takeProbe(now)) {
            it.onProbeConnected(now);
        }
        if (it.takeTrial(true, now)) {
            ++trials;
            it.onUnreachable("a", 12, now);
        }
    }
    CHECK(trials >= 8);
    CHECK(trials <= 15);
    it.takeProbe(now + 5s);
    it.onProbeConnected(now + 5s);
    CHECK_FALSE(it.takeTrial(false, now + 5400ms));
    CHECK(it.takeTrial(false, now + 5500ms));
}

// Guards against streams that are cut, and prompt parts that are kept away, because a VM's own cut was put down to its servers (LOST).
TEST_CASE("connections that were lost just before a cut was found, or in it, ended with the VM's path")
{
    ServerPath it;
    CHECK(it.takeLossCheck(Begin));
    CHECK_FALSE(it.takeLossCheck(Begin + 199ms));
    CHECK(it.takeLossCheck(Begin + 200ms));
    it.onUnreachable("a", 12, Begin + 205ms);
    it.onUnreachable("b", 12, Begin + 210ms);
    CHECK_FALSE(it.isPathLoss(Begin + 200ms)); // it may be the servers' end
    CHECK(it.onUnreachable("c", 12, Begin + 260ms));
    CHECK(it.isPathLoss(Begin + 200ms));
    CHECK(it.isPathLoss(Begin + 5s));
    CHECK_FALSE(it.isPathLoss(Begin));
    CHECK_FALSE(it.takeLossCheck(Begin + 1s)); // the probes of the cut go on
    CHECK(it.onReached({}, Begin + 6s));
    CHECK_FALSE(it.isPathLoss(Begin + 200ms));
}

// Guards against streams that are broken off in a cut in which new connections hang: it is found later than one that refuses them (LOST).
TEST_CASE("connections that were lost before the ones that hang were tried ended with the VM's path")
{
    ServerPath it;
    it.onReached("a", Begin - 1s);
    it.onUnreachable("a", 12, Begin + 325ms, 305ms);
    it.onUnreachable("b", 12, Begin + 325ms, 325ms);
    CHECK(it.onUnreachable("c", 12, Begin + 325ms, 10ms));
    CHECK(it.isPathLoss(Begin));
    CHECK(it.isPathLoss(Begin - 200ms));
    CHECK_FALSE(it.isPathLoss(Begin - 201ms));
}

// Guards against a server's end that is excused by a connection to another server that hung before the VM had its path (BUDGET).
TEST_CASE("no time before a server's last response counts to a cut, however long a connection hangs")
{
    ServerPath it;
    it.onReached("d", Begin + 250ms);
    it.onUnreachable("a", 12, Begin + 300ms, 300ms);
    it.onUnreachable("b", 12, Begin + 300ms, 20ms);
    CHECK(it.onUnreachable("c", 12, Begin + 300ms, 20ms));
    CHECK(it.isPathLoss(Begin + 50ms));
    CHECK_FALSE(it.isPathLoss(Begin + 49ms));
}

// Guards against a request that is sent on and on although its servers end under it: on a VM with few servers, or with few requests, that looks like a cut
// (BUDGET).
TEST_CASE("connections that were lost before a probe was accepted, or to the only server, ended with their servers")
{
    ServerPath it = cutPath();
    CHECK(it.isPathLoss(Begin));
    it.onProbeConnected(Begin + 50ms);
    CHECK(it.isCut());
    CHECK_FALSE(it.isPathLoss(Begin));
    CHECK(it.isPathLoss(Begin + 60ms));
    ServerPath one;
    CHECK(one.onUnreachable("only", 1, Begin));
    CHECK_FALSE(one.isPathLoss(Begin));
}

// Guards against the same where the entries of servers that ended under earlier requests are still listed (BUDGET).
TEST_CASE("servers that were lost earlier and don't respond are no sign that the path was lost with the next one")
{
    ServerPath it;
    it.onLost("a", Begin);
    it.onLost("b", Begin + 1s);
    it.onLost("c", Begin + 2s);
    it.onUnreachable("a", 3, Begin + 2s);
    it.onUnreachable("b", 3, Begin + 2s);
    CHECK(it.onUnreachable("c", 3, Begin + 2s));
    CHECK_FALSE(it.isPathLoss(Begin + 2s));
    it.onReached("a", Begin + 3s);
    it.onReached("b", Begin + 3s);
    it.onReached("c", Begin + 3s);
    it.onLost("c", Begin + 5s);
    it.onUnreachable("a", 3, Begin + 5s);
    it.onUnreachable("b", 3, Begin + 5s);
    CHECK(it.onUnreachable("c", 3, Begin + 5s));
    CHECK(it.isPathLoss(Begin + 5s));
}
