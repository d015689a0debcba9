#include "auburndrum/gateway/recentlag.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// Guards against a margin that follows the last lag only, or one of minutes ago.
TEST_CASE("the longest lag counts until it is half a minute old, then the longest one since")
{
    RecentLag lag;
    const Instant start{};
    CHECK(lag.longest(start) == 0ms);
    lag.add(700ms, start);
    lag.add(300ms, start + 10s);
    lag.add(100ms, start + 20s);
    CHECK(lag.longest(start + 30s) == 700ms);
    CHECK(lag.longest(start + 31s) == 300ms);
    lag.add(500ms, start + 32s);
    CHECK(lag.longest(start + 32s) == 500ms);
    CHECK(lag.longest(start + 63s) == 0ms);
}
