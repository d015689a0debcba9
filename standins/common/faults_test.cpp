#include "standins/common/faults.h"

#include <doctest/doctest.h>

using namespace auburndrum::standins;

TEST_CASE("a fault with a count is used up by matching requests only")
{
    FaultSwitches faults;
    faults.set({.mode = FaultMode::Refuse, .count = 2, .delay = {}, .pathPrefix = "/v1/log", .method = ""});
    CHECK_FALSE(faults.takeConnectionFault("GET", "/v1/vms"));
    CHECK(faults.takeConnectionFault("GET", "/v1/log/records"));
    CHECK(faults.takeConnectionFault("GET", "/v1/log/records"));
    CHECK_FALSE(faults.takeConnectionFault("GET", "/v1/log/records"));
}

TEST_CASE("a fault for one method leaves the others alone")
{
    FaultSwitches faults;
    faults.set({.mode = FaultMode::Reset, .count = 0, .delay = {}, .pathPrefix = "/v1/log", .method = "POST"});
    CHECK_FALSE(faults.takeConnectionFault("GET", "/v1/log/records"));
    CHECK(faults.takeConnectionFault("POST", "/v1/log/records"));
}

TEST_CASE("a fault without a count stays until cleared")
{
    FaultSwitches faults;
    faults.set({.mode = FaultMode::Full, .count = 0, .delay = {}, .pathPrefix = "", .method = ""});
    CHECK(faults.take(FaultMode::Full, "/v1/blocks/a"));
    CHECK(faults.take(FaultMode::Full, "/v1/blocks/a"));
    CHECK_FALSE(faults.takeConnectionFault("GET", "/v1/blocks/a"));
    faults.clear();
    CHECK_FALSE(faults.take(FaultMode::Full, "/v1/blocks/a"));
}

TEST_CASE("modes are known by their wire names")
{
    CHECK(faultModeByName("lose_reply") == FaultMode::LoseReply);
    CHECK_FALSE(faultModeByName("none"));
}
