#include "auburndrum/decision/traffic/routedurations.h"

#include <doctest/doctest.h>

using namespace auburndrum::decision;
using namespace std::chrono_literals;

TEST_CASE("the longest of a route's latest durations is known, and an earlier one is forgotten")
{
    // Guards against requests that are begun in a planned stop since most of their route are short.
    RouteDurations it;
    CHECK_FALSE(it.longest("a"));
    it.add("a", 3000ms);
    it.add("b", 10ms);
    for (int n = 0; n < 31; ++n) {
        it.add("a", 100ms);
    }
    CHECK(it.longest("a") == 3000ms);
    CHECK(it.longest("b") == 10ms);
    it.add("a", 100ms);
    CHECK(it.longest("a") == 100ms);
}
