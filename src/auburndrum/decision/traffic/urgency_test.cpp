#include "auburndrum/decision/traffic/urgency.h"

#include <doctest/doctest.h>

using namespace auburndrum::decision;
using namespace std::chrono_literals;

TEST_CASE("requests that can be on time come before those that can't, each group in order of priority")
{
    CHECK(urgencyOf(0, 100ms, 1000ms) == 0);
    CHECK(urgencyOf(1, 100ms, 1000ms) == 1);
    CHECK(urgencyOf(9, 100ms, 1000ms) == 4);
    CHECK(urgencyOf(0, 1100ms, 1000ms) == 5);
    CHECK(urgencyOf(9, 1100ms, 1000ms) == 9);
    CHECK(urgencyOf(0, 0ms, -1ms) == 5);
}

TEST_CASE("a request whose expected wait exceeds its caller's timeout is not sent")
{
    CHECK(canStartInTime(2900ms, 3000ms));
    CHECK_FALSE(canStartInTime(3100ms, 3000ms));
}

TEST_CASE("a queue is too long when it makes the request late, unless the request itself takes most of the target")
{
    CHECK_FALSE(isQueueTooLong(1000ms, 100ms, 1000ms));
    CHECK(isQueueTooLong(1001ms, 100ms, 1000ms));
    CHECK_FALSE(isQueueTooLong(3000ms, 1500ms, 1000ms)); // the largest prompts are served too
    CHECK(isQueueTooLong(3001ms, 1500ms, 1000ms));
    CHECK_FALSE(isQueueTooLong(20s, 100ms, 0ms)); // the route names no target
}

TEST_CASE("the retry delay is spread at random, grows with the expected wait and is bounded")
{
    // Guards against synchronised retries: in a burst of three times the usual requests, a fixed delay made all callers retry at once.
    CHECK(retryDelay(0ms, 0) == 300ms);
    CHECK(retryDelay(0ms, 1) == 500ms);
    CHECK(retryDelay(4s, 0.5) == 2s);
    CHECK(retryDelay(60s, 1) == 3750ms);
}

TEST_CASE("an engine at twice its capacity serves about half on time by urgency, and hardly any first come, first served")
{
    // Guards against all requests being late when engines fail at noon. One engine, a request each 50 ms with 100 ms of prefill, a target of 1 s.
    const auto onTime = [](bool byUrgency) {
        constexpr auto Gap = 50ms;
        constexpr auto Work = 100ms;
        constexpr auto Target = 1000ms;
        constexpr int Requests = 400;
        std::chrono::milliseconds urgentUntil{0}; // the engine's work on requests in the first band, in their order
        std::chrono::milliseconds allUntil{0};
        int n = 0;
        for (int i = 0; i < Requests; ++i) {
            const auto now = Gap * i;
            auto &until = byUrgency ? urgentUntil : allUntil;
            const auto wait = std::max(until, now) + Work - now;
            if (byUrgency && urgencyOf(0, wait, Target) >= 5) {
                continue; // waits behind the first band
            }
            until = now + wait;
            n += wait <= Target ? 1 : 0;
        }
        return n;
    };
    CHECK(onTime(true) >= 200);
    CHECK(onTime(false) < 50);
}
