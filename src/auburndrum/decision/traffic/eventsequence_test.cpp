#include "auburndrum/decision/traffic/eventsequence.h"

#include <doctest/doctest.h>

using namespace auburndrum::decision;

namespace {

/// A sequence whose own run has sent events with these ids.
EventSequence after(EventIdSteps &steps, std::initializer_list<const char *> ids)
{
    EventSequence it(steps);
    for (const char *id : ids) {
        CHECK(it.accept(id, false));
    }
    return it;
}

} // namespace

// Guards against an event that reaches the caller twice, or after one that is missing, where another server goes on with its stream.
TEST_CASE("a run that goes on with a stream sends the next event first")
{
    EventIdSteps steps;
    EventSequence it = after(steps, {"1", "2"});
    CHECK_FALSE(it.accept("1", true));
    CHECK_FALSE(it.accept("2", true));
    CHECK_FALSE(it.accept("4", true));
    CHECK_FALSE(it.accept("x", true));
    CHECK_FALSE(it.accept("", true));
    CHECK_FALSE(it.accept(std::nullopt, true));
    CHECK_FALSE(it.accept("18446744073709551616", true));
    CHECK(it.accept("3", true));
    CHECK(it.accept("4", true));
    CHECK(it.lastId() == "4");
}

// Guards against giving up streams whose ids increase by more than one: a greater id shows no gap there.
TEST_CASE("ids that are not consecutive within a run show no missing events")
{
    EventIdSteps steps;
    EventSequence it = after(steps, {"1", "4", "5"});
    CHECK(it.accept("9", true));
    CHECK_FALSE(it.accept("9", true));
    EventSequence other(steps);
    other.setLastId("3");
    CHECK(other.accept("7", true));
}

TEST_CASE("a service's other streams tell whether its ids are consecutive")
{
    EventIdSteps steps;
    after(steps, {"1", "2"});
    EventSequence it(steps);
    it.setLastId("6");
    CHECK_FALSE(it.accept("8", true));
    CHECK(it.accept("7", true));
}

TEST_CASE("the run that began a stream may send events without ids, and none twice")
{
    EventIdSteps steps;
    EventSequence it(steps);
    CHECK(it.accept(std::nullopt, false));
    CHECK(it.accept("1", false));
    CHECK(it.accept(std::nullopt, false));
    CHECK_FALSE(it.accept("1", false));
    CHECK(it.accept("2", false));
}
