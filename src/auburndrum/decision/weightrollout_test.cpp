#include "auburndrum/decision/weightrollout.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

std::string address(int server)
{
    return "127.0.0." + std::to_string(server) + ":80";
}

void report(ServerTable &table, int server, const std::string &version, std::uint32_t running = 0)
{
    static Instant at{100s};
    ServerLoadReport load;
    load.incarnation = 1;
    load.weightVersion = version;
    load.runningRequests = running;
    load.measuredAt = at += 1s;
    table.applyLoadReport(address(server), load);
}

ServerTable serversOnV1(int count)
{
    ServerTable table;
    for (int n = 0; n < count; ++n) {
        table.put({address(n), "zone-a", "cantabrico", "assess", 1});
        report(table, n, "v1", static_cast<std::uint32_t>(count - n));
    }
    return table;
}

} // namespace

TEST_CASE("at most two servers load at once, the least busy ones first")
{
    const ServerTable table = serversOnV1(12);
    const auto next = serversToLoad(table, {"assess", "v2", {}, 0});
    REQUIRE(next.size() == 2);
    CHECK(table.find(next[0])->address == address(11));
    CHECK(serversToLoad(table, {"assess", "v2", {next[0]}, 0}).size() == 1);
    CHECK(serversToLoad(table, {"assess", "v2", next, 0}).empty());
    CHECK(serversToLoad(table, {"assess", "v2", {}, 2}).empty());
}

TEST_CASE("the last serving server is never ordered to load")
{
    CHECK(serversToLoad(serversOnV1(1), {"assess", "v2", {}, 0}).empty());
    ServerTable table = serversOnV1(3);
    table.markLeaving(address(0), 1);
    table.markLeaving(address(1), 1);
    CHECK(serversToLoad(table, {"assess", "v2", {}, 0}).empty());
    CHECK(serversToLoad(serversOnV1(2), {"assess", "v2", {}, 0}).size() == 1);
}

TEST_CASE("a server that serves nothing is ordered to load first")
{
    ServerTable table = serversOnV1(3);
    report(table, 1, "");
    const auto next = serversToLoad(table, {"assess", "v2", {}, 0});
    REQUIRE_FALSE(next.empty());
    CHECK(table.find(next[0])->address == address(1));
}

TEST_CASE("a roll-out brings all servers to the desired version, at most two at a time")
{
    ServerTable table = serversOnV1(12);
    for (int round = 0; round < 12; ++round) {
        const auto next = serversToLoad(table, {"assess", "v2", {}, 0});
        CHECK(next.size() <= 2);
        for (const ServerId &it : next) {
            const std::string at = table.find(it)->address;
            for (int n = 0; n < 12; ++n) {
                if (address(n) == at) {
                    report(table, n, "v2");
                }
            }
        }
    }
    for (int n = 0; n < 12; ++n) {
        CHECK(table.find(address(n))->load.weightVersion == "v2");
    }
}

TEST_CASE("requests are spread over versions in proportion to the servers that serve them")
{
    std::mt19937_64 random(5);
    ServerTable table = serversOnV1(4);
    report(table, 0, "v2");
    std::map<std::string, int> counts;
    for (int n = 0; n < 4000; ++n) {
        ++counts[chooseServedVersion(table, "assess", random)];
    }
    CHECK(counts["v2"] > 850);
    CHECK(counts["v2"] < 1150);
    CHECK(counts["v1"] + counts["v2"] == 4000);
}
