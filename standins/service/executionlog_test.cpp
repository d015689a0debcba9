#include "standins/service/executionlog.h"

#include <doctest/doctest.h>

using namespace auburndrum::standins;

TEST_CASE("a repeated key runs again and is seen, and look-up finds the first")
{
    ExecutionLog log;
    Execution call;
    call.key = "order-1";
    call.organisation = "kattila";
    CHECK(log.run(call) == 1);
    CHECK(log.run(call) == 2);
    CHECK(log.all().size() == 2);
    REQUIRE(log.find("order-1", "kattila"));
    CHECK(log.find("order-1", "kattila")->number == 1);
    CHECK_FALSE(log.find("order-1", "poyta"));
    CHECK_FALSE(log.find("", "kattila"));
}
