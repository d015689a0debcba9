#include "standins/engine/loadhistory.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::standins;
using namespace std::chrono_literals;

TEST_CASE("a lagging reader gets the report that was true a lag ago")
{
    constexpr Instant Start{1h};
    LoadHistory history(10s);
    history.add("idle", Start);
    history.add("busy", Start + 1s);
    CHECK(history.lagging(500ms, Start + 1200ms).report == "idle");
    CHECK(history.lagging(500ms, Start + 1500ms).report == "busy");
    CHECK(history.lagging(500ms, Start + 1200ms).age == 1200ms);
}
