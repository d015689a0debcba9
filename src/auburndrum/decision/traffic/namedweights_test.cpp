#include "auburndrum/decision/traffic/namedweights.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};

} // namespace

TEST_CASE("only versions newer than the newest are accepted")
{
    NamedWeights it;
    CHECK(it.newestVersion() == 0);
    CHECK(it.addVersion(2, Start, false));
    CHECK_FALSE(it.addVersion(2, Start, false));
    CHECK_FALSE(it.addVersion(1, Start, false));
    CHECK(it.newestVersion() == 2);
}

TEST_CASE("a later version doesn't reset the time at which an older one was replaced")
{
    // Guards against outdated weights staying in use: with two versions named 9 s apart, requests still began on the
    // oldest weights 10 s after the first was acknowledged.
    NamedWeights it;
    it.addVersion(2, Start, false);
    it.addVersion(3, Start + 9s, false);
    CHECK(it.replacedSince(1) == Start);
    CHECK(it.replacedSince(2) == Start + 9s);
    CHECK_FALSE(it.replacedSince(3));
}

TEST_CASE("versions named before the process started have an unknown age")
{
    NamedWeights it;
    it.addVersion(2, Start, true);
    it.addVersion(3, Start + 1s, false);
    CHECK(it.wasReplacedBeforeStart(1));
    CHECK_FALSE(it.wasReplacedBeforeStart(2));
    CHECK_FALSE(it.wasReplacedBeforeStart(3));
}
