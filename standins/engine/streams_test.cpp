#include "standins/engine/streams.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::standins;
using namespace std::chrono_literals;

TEST_CASE("an ended stream can be read for a minute")
{
    constexpr Instant Start{1h};
    StreamTable streams;
    streams.add("a", {});
    CHECK(streams.find("a", Start + 10h));
    streams.find("a", Start)->endedAt = Start;
    CHECK(streams.find("a", Start + 59s));
    CHECK_FALSE(streams.find("a", Start + 60s));
    CHECK_FALSE(streams.find("b", Start));
}
