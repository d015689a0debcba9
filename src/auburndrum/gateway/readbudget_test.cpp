#include "auburndrum/gateway/readbudget.h"

#include <doctest/doctest.h>

using namespace auburndrum::gateway;
using namespace std::chrono_literals;

TEST_CASE("the steps of reading a change add up to no more than the time in which it must be in force")
{
    // Guards against a step that grows by itself until their sum is too long, as each of them looks short (CONFIG, DRAIN).
    for (const auto bound : {500ms, 1000ms, 2500ms, 3333ms, 10000ms}) {
        CAPTURE(bound.count());
        const ReadBudget it = ReadBudget::of(bound);
        CHECK(it.longest() <= bound);
        CHECK(it.longest() == it.refreshInterval + 3 * it.answerTime + it.applyTime);
        // What a relay tells is new enough that the VMs which poll it don't read for themselves.
        CHECK(it.relayReadTime + it.answerTime + it.pollInterval < it.refreshInterval + it.answerTime);
    }
    CHECK(ReadBudget().longest() == ReadBudget::of(2500ms).longest());
}
