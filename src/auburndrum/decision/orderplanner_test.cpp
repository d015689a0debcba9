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

TEST_CASE("the last serving server is not ordered to load")
{
    OrderPlanner planner;
    CHECK(planner.plan(T0, 7, WantedV2, serversAt({"v1", "v1"})).size() == 1);
    CHECK(planner.blockedServers() == std::vector<std::string>{"s1"});
    CHECK(planner.plan(T0 + 1s, 7, WantedV2, serversAt({"v2", "v1"})).size() == 1);
}

TEST_CASE("a server that serves no version is ordered to load even if no other server serves")
{
    CHECK(OrderPlanner().plan(T0, 7, WantedV2, serversAt({""})).size() == 1);
}

TEST_CASE("an order is repeated under the current fencing number until the server reports the desired state")
{
    OrderPlanner planner;
    planner.plan(T0, 7, WantedV2, serversAt({"v1", "v2"}));
    CHECK(planner.plan(T0 + 1s, 8, WantedV2, serversAt({"v1", "v2"})).empty());
    const auto repeated = planner.plan(T0 + 2s, 8, WantedV2, serversAt({"v1", "v2"}));
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].fencing == 8);
    CHECK(planner.plan(T0 + 4s, 8, WantedV2, serversAt({"v2", "v2"})).empty());
}

TEST_CASE("a server that returns to an old version after a late order is ordered again")
{
    OrderPlanner planner;
    CHECK(planner.plan(T0, 7, WantedV2, serversAt({"v2", "v2"})).empty());
    CHECK(planner.plan(T0 + 1s, 7, WantedV2, serversAt({"v1", "v2"})).size() == 1);
}

TEST_CASE("a load without effect no longer counts against the load limit after its timeout")
{
    OrderPlanner planner;
    planner.plan(T0, 7, WantedV2, serversAt({"v1", "v1", "v1", "v2"}));
    CHECK(planner.plan(T0 + 1s, 7, WantedV2, serversAt({"v1", "v1", "v1", "v2"})).empty());
    const auto later = planner.plan(T0 + 30s, 7, WantedV2, serversAt({"v1", "v1", "v1", "v2"}));
    CHECK(later.size() == 2);
}

TEST_CASE("no order is planned under a fencing number that a server refused as stale")
{
    OrderPlanner planner;
    planner.onStaleFencing(7);
    CHECK(planner.plan(T0, 7, WantedV2, serversAt({"v1", "v1"})).empty());
    CHECK_FALSE(planner.plan(T0, 8, WantedV2, serversAt({"v1", "v1"})).empty());
}

TEST_CASE("adapters and roles are ordered after the version, and leaving servers get no orders")
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
