#include "auburndrum/decision/orderplanner.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1h};
const DesiredServiceState WantedV2{"v2", {}, {}};

std::vector<ObservedServerState> serversAt(const std::vector<std::string> &versions)
{
    std::vector<ObservedServerState> servers;
    servers.reserve(versions.size());
    for (const std::string &it : versions) {
        servers.push_back({"s" + std::to_string(servers.size()), it, {}, "", false});
    }
    return servers;
}

} // namespace

TEST_CASE("at most two servers load at once")
{
    OrderPlanner planner;
    const auto orders = planner.plan(T0, 7, WantedV2, serversAt({"v1", "v1", "v1", "v1"}));
    REQUIRE(orders.size() == 2);
    CHECK(orders[0] == Order{"s0", OrderKind::LoadVersion, "v2", 7});
    CHECK(planner.plan(T0 + 1s, 7, WantedV2, serversAt({"v2", "v1", "v1", "v1"})).size() == 1);
}

TEST_CASE("the last serving server is not taken")
{
    OrderPlanner planner;
    CHECK(planner.plan(T0, 7, WantedV2, serversAt({"v1", "v1"})).size() == 1);
    CHECK(planner.blockedServers() == std::vector<std::string>{"s1"});
    CHECK(planner.plan(T0 + 1s, 7, WantedV2, serversAt({"v2", "v1"})).size() == 1);
}

TEST_CASE("a server that serves nothing may always load")
{
    CHECK(OrderPlanner().plan(T0, 7, WantedV2, serversAt({""})).size() == 1);
}

TEST_CASE("an order is repeated under the new fencing number until the server reports it")
{
    OrderPlanner planner;
    planner.plan(T0, 7, WantedV2, serversAt({"v1", "v2"}));
    CHECK(planner.plan(T0 + 1s, 8, WantedV2, serversAt({"v1", "v2"})).empty());
    const auto repeated = planner.plan(T0 + 2s, 8, WantedV2, serversAt({"v1", "v2"}));
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].fencing == 8);
    CHECK(planner.plan(T0 + 4s, 8, WantedV2, serversAt({"v2", "v2"})).empty());
}

TEST_CASE("a server that falls back to a stale order's version is ordered again")
{
    OrderPlanner planner;
    CHECK(planner.plan(T0, 7, WantedV2, serversAt({"v2", "v2"})).empty());
    CHECK(planner.plan(T0 + 1s, 7, WantedV2, serversAt({"v1", "v2"})).size() == 1);
}

TEST_CASE("a load without effect frees its place after the time out")
{
    OrderPlanner planner;
    planner.plan(T0, 7, WantedV2, serversAt({"v1", "v1", "v1", "v2"}));
    CHECK(planner.plan(T0 + 1s, 7, WantedV2, serversAt({"v1", "v1", "v1", "v2"})).empty());
    const auto later = planner.plan(T0 + 30s, 7, WantedV2, serversAt({"v1", "v1", "v1", "v2"}));
    CHECK(later.size() == 2);
}

TEST_CASE("nothing is ordered under a number that a server called stale")
{
    OrderPlanner planner;
    planner.onStaleFencing(7);
    CHECK(planner.plan(T0, 7, WantedV2, serversAt({"v1", "v1"})).empty());
    CHECK_FALSE(planner.plan(T0, 8, WantedV2, serversAt({"v1", "v1"})).empty());
}

TEST_CASE("adapters and roles follow the version, leaving servers get nothing")
{
    const DesiredServiceState desired{"v2", {"a1"}, {{"s1", "prefill"}}};
    std::vector<ObservedServerState> servers = serversAt({"v2", "v2", "v2"});
    servers[1].adapters = {"a1"};
    servers[2].isLeaving = true;
    const auto orders = OrderPlanner().plan(T0, 7, desired, servers);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].kind == OrderKind::LoadAdapter);
    CHECK(orders[1] == Order{"s1", OrderKind::SetRole, "prefill", 7});
}
