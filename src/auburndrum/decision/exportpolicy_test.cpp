#include "auburndrum/decision/exportpolicy.h"
#include "auburndrum/decision/hedge.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100h};

ReuseIntervals hourlyReuse()
{
    ReuseIntervals intervals;
    for (int n = 0; n < 500; ++n) {
        intervals.recordFirstUse();
        intervals.recordReuse(50min);
        intervals.recordReuse(70min);
    }
    return intervals;
}

BlockUsage block(std::chrono::nanoseconds age, std::uint32_t visits = 1, std::uint64_t bytes = 10'000'000)
{
    return {{}, 2000, bytes, visits, Start - age};
}

} // namespace

TEST_CASE("the reuse probability follows the recorded intervals")
{
    const ReuseIntervals intervals = hourlyReuse();
    CHECK(intervals.reuseProbability(0s, 5min, 1) < 0.01);
    CHECK(intervals.reuseProbability(0s, 3h, 1) > 0.6);
    CHECK(intervals.reuseProbability(24h, 24h, 1) < 0.01);
    CHECK(intervals.reuseProbability(0s, 3h, 4) > intervals.reuseProbability(0s, 3h, 1));
}

TEST_CASE("recent intervals outweigh earlier ones")
{
    ReuseIntervals intervals = hourlyReuse();
    for (int n = 0; n < 60'000; ++n) {
        intervals.recordFirstUse();
        intervals.recordReuse(10s);
    }
    CHECK(intervals.reuseProbability(0s, 20s, 1) > 0.4);
}

TEST_CASE("a block is exported when it fits, or when it saves more than a stored one")
{
    const ReuseIntervals intervals = hourlyReuse();
    const ExportOptions options;
    const double saving = savingPerByte(block(1min), intervals, options, Start);
    CHECK(saving > 0);
    CHECK(shouldExport(block(1min), intervals, options, 1'000'000'000, 0, Start));
    CHECK(shouldExport(block(1min), intervals, options, 0, saving / 2, Start));
    CHECK_FALSE(shouldExport(block(1min), intervals, options, 0, saving * 2, Start));
    CHECK_FALSE(shouldExport(block(48h), intervals, options, 1'000'000'000, 0, Start));
}

TEST_CASE("a block that is slower to read than to prefill is not exported")
{
    CHECK_FALSE(shouldExport(block(1min, 1, 1'000'000'000), hourlyReuse(), {}, 10'000'000'000, 0, Start));
}

TEST_CASE("eviction frees the needed bytes from the blocks that save least")
{
    const std::vector<BlockUsage> blocks{block(1min), block(48h), block(30min, 5), block(30h)};
    const auto evicted = chooseEvictions(blocks, 15'000'000, hourlyReuse(), {}, Start);
    REQUIRE(evicted.size() == 2);
    CHECK(evicted[0] + evicted[1] == 4);
    CHECK(evicted[0] * evicted[1] == 3);
}

TEST_CASE("only a late, repeatable request without output is hedged, and only within the budget")
{
    RetryBudget budget;
    HedgeInput input{true, false, false, 2s, 500ms};
    input.repeatable = false;
    CHECK_FALSE(tryHedge(input, budget, Start));
    input = {true, true, false, 2s, 500ms};
    CHECK_FALSE(tryHedge(input, budget, Start));
    input = {true, false, true, 2s, 500ms};
    CHECK_FALSE(tryHedge(input, budget, Start));
    input = {true, false, false, 1s, 500ms};
    CHECK_FALSE(tryHedge(input, budget, Start));
    input = {true, false, false, 2s, 500ms};
    CHECK(tryHedge(input, budget, Start));
    CHECK_FALSE(tryHedge(input, budget, Start));
}
