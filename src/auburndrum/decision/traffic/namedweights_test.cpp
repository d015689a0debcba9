#include "auburndrum/decision/traffic/namedweights.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};

} // namespace

TEST_CASE("versions only grow")
{
    NamedWeights it;
    CHECK(it.newestVersion() == 0);
    CHECK(it.addVersion(2, Start, false));
    CHECK_FALSE(it.addVersion(2, Start, false));
    CHECK_FALSE(it.addVersion(1, Start, false));
    CHECK(it.newestVersion() == 2);
}

TEST_CASE("a further version doesn't renew the time of the one before")
{
    // Pattern: two versions named 9 s apart; requests began on the oldest weights 10 s after the first was acknowledged.
    NamedWeights it;
    it.addVersion(2, Start, false);
    it.addVersion(3, Start + 9s, false);
    CHECK(it.replacedSince(1) == Start);
    CHECK(it.replacedSince(2) == Start + 9s);
    CHECK_FALSE(it.replacedSince(3));
}

TEST_CASE("weights found at the start of a process are of unknown age")
{
    NamedWeights it;
    it.addVersion(2, Start, true);
    it.addVersion(3, Start + 1s, false);
    CHECK(it.wasReplacedBeforeStart(1));
    CHECK_FALSE(it.wasReplacedBeforeStart(2));
    CHECK_FALSE(it.wasReplacedBeforeStart(3));
}
