#include "auburndrum/decision/exportpolicy.h"
#include "auburndrum/decision/hedge.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100h};

ReuseIntervals hourly()
{
    ReuseIntervals gaps;
    for (int n = 0; n < 500; ++n) {
        gaps.recordFirstUse();
        gaps.recordReuse(50min);
        gaps.recordReuse(70min);
    }
    return gaps;
}

BlockUsage block(std::chrono::nanoseconds age, std::uint32_t visits = 1, std::uint64_t bytes = 10'000'000)
{
    return {{}, 2000, bytes, visits, Start - age};
}

} // namespace

TEST_CASE("the chance of return follows the gaps seen")
{
    const ReuseIntervals gaps = hourly();
    CHECK(gaps.reuseProbability(0s, 5min, 1) < 0.01);
    CHECK(gaps.reuseProbability(0s, 3h, 1) > 0.6);
    CHECK(gaps.reuseProbability(24h, 24h, 1) < 0.01);
    CHECK(gaps.reuseProbability(0s, 3h, 4) > gaps.reuseProbability(0s, 3h, 1));
}

TEST_CASE("new habits replace old ones")
{
    ReuseIntervals gaps = hourly();
    for (int n = 0; n < 60'000; ++n) {
        gaps.recordFirstUse();
        gaps.recordReuse(10s);
    }
    CHECK(gaps.reuseProbability(0s, 20s, 1) > 0.4);
}

TEST_CASE("a block is exported while there is room, and over lesser ones when there is none")
{
    const ReuseIntervals gaps = hourly();
    const ExportOptions rates;
    const double worth = savingPerByte(block(1min), gaps, rates, Start);
    CHECK(worth > 0);
    CHECK(shouldExport(block(1min), gaps, rates, 1'000'000'000, 0, Start));
    CHECK(shouldExport(block(1min), gaps, rates, 0, worth / 2, Start));
    CHECK_FALSE(shouldExport(block(1min), gaps, rates, 0, worth * 2, Start));
    CHECK_FALSE(shouldExport(block(48h), gaps, rates, 1'000'000'000, 0, Start));
}

TEST_CASE("a block that reads slower than it computes is not exported")
{
    CHECK_FALSE(shouldExport(block(1min, 1, 1'000'000'000), hourly(), {}, 10'000'000'000, 0, Start));
}

TEST_CASE("eviction frees the bytes needed from the blocks that save least")
{
    const std::vector<BlockUsage> blocks{block(1min), block(48h), block(30min, 5), block(30h)};
    const auto evicted = chooseEvictions(blocks, 15'000'000, hourly(), {}, Start);
    REQUIRE(evicted.size() == 2);
    CHECK(evicted[0] + evicted[1] == 4);
    CHECK(evicted[0] * evicted[1] == 3);
}

TEST_CASE("only a late, repeatable request without output is hedged, and only inside the budget")
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
