#include "auburndrum/decision/traffic/responsememory.h"

#include <doctest/doctest.h>

using namespace auburndrum::decision;

TEST_CASE("a response that is too large by itself is given up")
{
    ResponseMemory it({.maxTotalBytes = 1000, .maxResponseBytes = 100});
    const auto id = it.add();
    CHECK_FALSE(it.setHeld(id, 100));
    CHECK(it.setHeld(id, 101) == id);
}

TEST_CASE("when all responses are too large together the largest is given up, and its memory is free again")
{
    // Guards against many responses without end, each within its own limit.
    ResponseMemory it({.maxTotalBytes = 100, .maxResponseBytes = 80});
    const auto small = it.add();
    const auto large = it.add();
    CHECK_FALSE(it.setHeld(large, 70));
    CHECK_FALSE(it.setHeld(small, 30));
    CHECK(it.setHeld(small, 31) == large);
    it.remove(large);
    CHECK(it.totalBytes() == 31);
    CHECK_FALSE(it.setHeld(small, 70));
    it.remove(small);
    it.remove(small);
    CHECK(it.totalBytes() == 0);
}
