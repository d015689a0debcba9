#include "auburndrum/decision/servertable.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};

ServerEntry entry(std::uint64_t incarnation)
{
    return {"127.0.0.2:80", "zone-a", "uusimaa", "menu", incarnation};
}

} // namespace

TEST_CASE("an incarnation stays leaving when an outdated list shows the server live again")
{
    ServerTable table;
    table.put(entry(7));
    table.markLeaving("127.0.0.2:80", 7);
    table.put(entry(7));
    CHECK(table.find("127.0.0.2:80")->leaving);
    table.remove("127.0.0.2:80", 7);
    table.put(entry(7));
    CHECK(table.find("127.0.0.2:80")->leaving);
    ServerLoadReport load;
    load.incarnation = 7;
    table.applyLoadReport("127.0.0.2:80", load);
    CHECK(table.find("127.0.0.2:80")->leaving);
}

TEST_CASE("a newer incarnation is not leaving")
{
    ServerTable table;
    table.put(entry(7));
    table.markLeaving("127.0.0.2:80", 7);
    table.put(entry(8));
    CHECK_FALSE(table.find("127.0.0.2:80")->leaving);
}

TEST_CASE("an incarnation may be marked as leaving before the server is put")
{
    ServerTable table;
    table.markLeaving("127.0.0.2:80", 7);
    table.put(entry(7));
    CHECK(table.find("127.0.0.2:80")->leaving);
}

TEST_CASE("put and remove of an older incarnation are ignored")
{
    ServerTable table;
    const auto id = table.put(entry(7));
    CHECK(*table.put(entry(6)) == *id);
    table.remove("127.0.0.2:80", 6);
    CHECK(table.find(*id) != nullptr);
}

TEST_CASE("a handle is no longer valid when its server is replaced")
{
    ServerTable table;
    const auto id = table.put(entry(7));
    table.onSent(*id, 100, Start);
    table.put(entry(8));
    CHECK(table.find(*id) == nullptr);
    table.onFinished(*id);
    CHECK(table.slotsOfService("menu").size() == 1);
    CHECK(table.size() == 1);
}

TEST_CASE("a load report covers the requests sent before it was measured")
{
    ServerTable table;
    const auto id = table.put(entry(7));
    table.onSent(*id, 100, Start);
    table.onSent(*id, 200, Start + 2s);
    ServerLoadReport load;
    load.incarnation = 7;
    load.measuredAt = Start + 1s;
    table.applyLoadReport("127.0.0.2:80", load);
    REQUIRE(table.find(*id)->unreportedRequests.size() == 1);
    CHECK(table.find(*id)->unreportedRequests[0].prefillTokens == 200);
}

TEST_CASE("a load report of another incarnation or an earlier time is ignored")
{
    ServerTable table;
    const auto id = table.put(entry(7));
    ServerLoadReport load;
    load.incarnation = 7;
    load.queuedRequests = 5;
    load.measuredAt = Start;
    table.applyLoadReport("127.0.0.2:80", load);
    load.queuedRequests = 9;
    load.measuredAt = Start - 1s;
    table.applyLoadReport("127.0.0.2:80", load);
    load.incarnation = 6;
    load.measuredAt = Start + 1s;
    table.applyLoadReport("127.0.0.2:80", load);
    CHECK(table.find(*id)->load.queuedRequests == 5);
}
