#include "auburndrum/decision/snapshotplanner.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1h};

SnapshotPlanner newPlanner()
{
    return {{.interval = 1h,
             .maxEntries = 100,
             .randomDelay =
                 [] {
                     return 10s;
                 }},
            T0};
}

} // namespace

TEST_CASE("a snapshot is due after the interval and the random delay")
{
    SnapshotPlanner planner = newPlanner();
    CHECK_FALSE(planner.isDue(T0 + 59min, 10));
    CHECK_FALSE(planner.isDue(T0 + 1h, 10));
    CHECK(planner.isDue(T0 + 1h + 10s, 10));
    CHECK_FALSE(planner.isDue(T0 + 1h + 11s, 10));
}

TEST_CASE("a snapshot of another process during the random delay postpones this process's snapshot")
{
    SnapshotPlanner planner = newPlanner();
    planner.isDue(T0 + 1h, 10);
    planner.onSnapshotFolded(T0 + 1h + 5s, 11);
    CHECK_FALSE(planner.isDue(T0 + 1h + 10s, 12));
}

TEST_CASE("a snapshot is due before the interval when there are many entries")
{
    SnapshotPlanner planner = newPlanner();
    CHECK_FALSE(planner.isDue(T0, 100));
    CHECK(planner.isDue(T0 + 10s, 100));
}
