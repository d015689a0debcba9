#include "standins/platform/weightstore.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::standins;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1h};

} // namespace

TEST_CASE("two loads together take as long as one")
{
    WeightStore store({.loadTime = 800ms});
    store.start(Start);
    store.start(Start);
    CHECK(store.advance(Start + 799ms).empty());
    CHECK(store.advance(Start + 801ms).size() == 2);
    CHECK_FALSE(store.nextFinish());
}

TEST_CASE("four loads together take twice as long")
{
    WeightStore store({.loadTime = 800ms});
    for (int n = 0; n < 4; ++n) {
        store.start(Start);
    }
    CHECK(store.advance(Start + 1599ms).empty());
    CHECK(store.advance(Start + 1601ms).size() == 4);
}

TEST_CASE("a load that joins late doesn't take back earlier progress")
{
    WeightStore store({.loadTime = 800ms, .fullSpeedLoads = 1});
    const std::uint64_t first = store.start(Start);
    store.start(Start + 400ms);
    const std::vector<std::uint64_t> finished = store.advance(Start + 1201ms);
    REQUIRE(finished.size() == 1);
    CHECK(finished[0] == first);
}
