#include "auburndrum/gateway/pausedetector.h"

#include "eventloop.h"

#include <doctest/doctest.h>

#include <thread>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

TEST_CASE("an answer that is handled after a pause may have been given when the pause began, one to a later call may not")
{
    PauseDetector it;
    runFor(100ms);
    const Instant sentAt = suspendAwareNow();
    runFor(100ms);
    const Instant pausedAt = suspendAwareNow();
    std::this_thread::sleep_for(300ms);
    CHECK(it.earliestAnswerTime(sentAt) <= pausedAt);
    CHECK(it.earliestAnswerTime(sentAt) >= sentAt);
    runFor(100ms); // the pause is noticed by the timer
    CHECK(it.earliestAnswerTime(sentAt) <= pausedAt);
    const Instant sentLater = suspendAwareNow();
    CHECK(it.earliestAnswerTime(sentLater) >= sentLater);
}

TEST_CASE("the first of several pauses during a call counts")
{
    PauseDetector it;
    const Instant sentAt = suspendAwareNow();
    runFor(100ms);
    const Instant pausedAt = suspendAwareNow();
    for (int n = 0; n < 2; ++n) {
        std::this_thread::sleep_for(300ms);
        runFor(100ms);
    }
    CHECK(it.earliestAnswerTime(sentAt) <= pausedAt);
}
