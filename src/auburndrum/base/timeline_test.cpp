#include "auburndrum/base/timeline.h"

#include <doctest/doctest.h>

#include <thread>

using namespace auburndrum;
using namespace std::chrono_literals;

namespace {

struct FixedWall
{
    WallTime time{1000ms};

    std::function<WallTime()> reader()
    {
        return [this] {
            return time;
        };
    }
};

} // namespace

TEST_CASE("a hybrid clock never returns the same time twice, also when the wall clock steps back")
{
    FixedWall wall;
    HybridClock clock(wall.reader());
    const HybridTime first = clock.now();
    const HybridTime second = clock.now();
    wall.time -= 500ms;
    const HybridTime third = clock.now();
    wall.time += 2s;
    const HybridTime fourth = clock.now();
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third < fourth);
    CHECK(fourth.wall == wall.time);
}

TEST_CASE("times after an observed time are later than it")
{
    FixedWall wall;
    HybridClock clock(wall.reader());
    const HybridTime remote{wall.time + 3s, 7};
    CHECK(clock.observe(remote) > remote);
    CHECK(clock.now() > remote);
}

TEST_CASE("a peer's time that is too far ahead is ignored")
{
    FixedWall wall;
    HybridClock clock(wall.reader());
    clock.observe({wall.time + MaxClockLead + 1ms, 0});
    CHECK(clock.now().wall == wall.time);
}

TEST_CASE("hybrid times round trip as text")
{
    const HybridTime time{WallTime{1234567890123ms}, 42};
    CHECK(parseHybridTime(toText(time)) == time);
    CHECK_FALSE(parseHybridTime("12").has_value());
    CHECK_FALSE(parseHybridTime("12.").has_value());
    CHECK_FALSE(parseHybridTime("12.x").has_value());
}

TEST_CASE("a full time line drops the oldest events and counts them")
{
    HybridClock clock;
    Timeline timeline(3, clock);
    for (const std::string_view it : {"a", "b", "c", "d", "e"}) {
        timeline.record(EventKind::RequestReceived, it);
    }
    const auto events = timeline.events();
    REQUIRE(events.size() == 3);
    CHECK(events.front().requestId == "c");
    CHECK(events.back().requestId == "e");
    CHECK(timeline.dropped() == 2);
}

TEST_CASE("events are filtered by request, time and number")
{
    FixedWall wall;
    HybridClock clock(wall.reader());
    Timeline timeline(10, clock);
    timeline.record(EventKind::RequestReceived, "r1");
    timeline.record(EventKind::RequestReceived, "r2");
    wall.time += 5s;
    timeline.record(EventKind::RequestAnswered, "r1");
    CHECK(timeline.events({.requestId = "r1"}).size() == 2);
    CHECK(timeline.events({.since = wall.time}).size() == 1);
    const auto latest = timeline.events({.limit = 1});
    REQUIRE(latest.size() == 1);
    CHECK(latest[0].kind == EventKind::RequestAnswered);
}

TEST_CASE("events recorded by several threads are ordered by time")
{
    constexpr int EventsPerThread = 2000;
    HybridClock clock;
    Timeline timeline(4 * EventsPerThread, clock);
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&timeline] {
            for (int it = 0; it < EventsPerThread; ++it) {
                timeline.record(EventKind::FirstOutput, "r");
            }
        });
    }
    for (std::thread &it : threads) {
        it.join();
    }
    const auto events = timeline.events({.limit = 4 * EventsPerThread});
    REQUIRE(events.size() == 4 * EventsPerThread);
    for (std::size_t n = 1; n < events.size(); ++n) {
        REQUIRE(events[n - 1].time < events[n].time);
    }
}

TEST_CASE("a report round trips as JSON, and long details are truncated")
{
    HybridClock clock;
    Timeline timeline(10, clock);
    timeline.record(EventKind::ClaimWon, "r1", std::string(MaxDetailBytes - 1, 'x') + "\u00e4");
    timeline.record(EventKind::DaemonReady, "");
    const TimelineReport report{"a1", "a", 0, timeline.events()};
    const auto read = parseTimelineReport(toJson(report));
    REQUIRE(read.has_value());
    CHECK(read->process == "a1");
    REQUIRE(read->events.size() == 2);
    CHECK(read->events[0].kind == EventKind::ClaimWon);
    CHECK(read->events[0].detail.starts_with("xxx"));
    CHECK(read->events[1] == report.events[1]);
}

TEST_CASE("malformed reports are refused, and reports of a later release are read without unknown events")
{
    for (const std::string_view it : {"", "[]", "{}", R"({"events":1})", "{\"events\":["}) {
        CHECK_FALSE(parseTimelineReport(it).has_value());
    }
    const auto read = parseTimelineReport(R"({"events":[{"time":"1.2","kind":"of_a_later_release"},{"time":"1.3","kind":"drain_cut"},7]})");
    REQUIRE(read.has_value());
    REQUIRE(read->events.size() == 1);
    CHECK(read->events[0].kind == EventKind::DrainCut);
}
