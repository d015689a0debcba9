#include "eventloop.h"
#include "gatewayfixture.h"
#include "weightupdaterfixture.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// The store returns from a copy some seconds old: what was written since is gone, and its offsets are given out again.

namespace {

void respondOk(const std::shared_ptr<net::Exchange> &exchange, int /*call*/)
{
    exchange->respond(200, {{"Id", "request-1"}, {"Seal", "s"}}, "done");
}

bool becomesVersion(GatewayFixture &it, int version)
{
    return runUntil(
        [&] {
            return it.hasLogged("configuration") && it.lastLine("configuration")["version"] == version;
        },
        2s);
}

} // namespace

TEST_CASE("after the store returned from an older copy, a new configuration is in force in time")
{
    // Guards against a reader that goes on from an offset which the store doesn't have any more, and reads nothing for good (CONFIG).
    GatewayFixture it(respondOk);
    it.store.makeCopy();
    for (int n = 2; n <= 4; ++n) {
        it.store.put("operator", "configuration", QByteArray::number(n));
        REQUIRE(becomesVersion(it, n));
    }
    it.store.restoreCopy();
    it.store.put("operator", "configuration", "4");
    it.store.put("operator", "configuration", "5");
    CHECK(becomesVersion(it, 5));
}

TEST_CASE("records at offsets that were given out again are read")
{
    // Guards against a reader that takes a record of the new era for one that it has read (CONFIG).
    GatewayFixture it(respondOk);
    it.store.makeCopy();
    it.store.put("operator", "configuration", "2");
    REQUIRE(becomesVersion(it, 2));
    it.store.restoreCopy();
    it.store.put("operator", "configuration", "3");
    CHECK(becomesVersion(it, 3));
}

TEST_CASE("an older copy brings back no server that was removed, until the server writes again")
{
    // Guards against requests to a server that has left, since the copy still lists it (DRAIN).
    GatewayFixture it(respondOk);
    it.store.makeCopy();
    it.store.put("servers", "a", std::nullopt);
    it.store.put("servers", "b", std::nullopt);
    REQUIRE(runUntil([&] {
        return it.sendRequest("/safe/").head.status == 503;
    }));
    it.store.restoreCopy();
    runFor(500ms);
    CHECK(it.sendRequest("/safe/").head.status == 503);
    it.store.put("servers", "a", it.serverAddresses[0]);
    CHECK(runUntil([&] {
        return it.sendRequest("/safe/").head.status == 200;
    }));
}

TEST_CASE("a server that the older copy doesn't list stays in use until it has had time to write again")
{
    // Guards against refusing all requests though the servers are there (LOST).
    GatewayFixture it(respondOk, true, [](GatewayFixture &fixture, GatewayOptions &) {
        fixture.store.put("servers", "a", std::nullopt);
        fixture.store.put("servers", "b", std::nullopt);
        fixture.store.makeCopy();
        fixture.store.put("servers", "a", fixture.serverAddresses[0]);
    });
    REQUIRE(it.sendRequest("/safe/").head.status == 200);
    it.store.restoreCopy();
    runFor(500ms);
    CHECK(it.sendRequest("/safe/").head.status == 200);
    CHECK(runUntil(
        [&] {
            return it.sendRequest("/safe/").head.status == 503;
        },
        4s));
}

TEST_CASE("two VMs give no orders too close to each other, and no fencing number is used twice, when the store lost the lease")
{
    // Guards against a second holder beside one whose lease is gone from the store, and against fencing numbers that are given out again (ONE).
    FakeStore store;
    FakeEngines engines;
    UpdaterVm first("first", store, engines);
    first.nameWeights(2);
    REQUIRE(runUntil([&] {
        return !engines.receivedOrders.empty();
    }));
    store.makeCopy();
    REQUIRE(runUntil([&] {
        return allHave(engines, 2);
    }));
    runFor(100ms);
    engines.loadTime = 300ms;
    UpdaterVm second("second", store, engines);
    for (int version = 3; version <= 5; ++version) {
        for (UpdaterVm *it : {&first, &second}) {
            for (int n = 0; n < 5; ++n) {
                decision::BackendServer engine = newEngine(n);
                engine.weightVersions["m"] = engines.versions[engine.address];
                it->state.servers.put(engine, monotonicNow());
            }
            it->nameWeights(static_cast<std::uint64_t>(version));
        }
        runFor(150ms);
        store.restoreCopy();
        runFor(900ms);
    }
    CHECK(runUntil([&] {
        return allHave(engines, 5);
    }));
    checkOrderIntervals(engines, UpdaterVm::options("").orderInterval);
}

TEST_CASE("a VM registers again when the store lost its registration")
{
    // Guards against entry VMs that don't find each other any more.
    GatewayFixture it(respondOk, true, [](GatewayFixture &fixture, GatewayOptions &options) {
        fixture.store.makeCopy();
        options.entryTopic = "entries";
        options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
    });
    REQUIRE(runUntil([&] {
        return !it.store.records("entries").empty();
    }));
    it.store.restoreCopy();
    REQUIRE(it.store.records("entries").empty());
    CHECK(runUntil(
        [&] {
            return !it.store.records("entries").empty();
        },
        3s));
}

TEST_CASE("a VM that starts after the store lost leases and orders waits the order interval, and uses no fencing number again")
{
    // Guards against orders of two VMs within the order interval, with one fencing number: the copy knows nothing of the first VM's (ONE).
    FakeStore store;
    FakeEngines engines;
    store.makeCopy();
    store.restoreCopy();
    store.restoreCopy(); // the number of the era shows that records may have been lost
    auto first = std::make_unique<UpdaterVm>("first", store, engines);
    first->nameWeights(2);
    REQUIRE(runUntil([&] {
        return allHave(engines, 2);
    }));
    first.reset();
    store.restoreCopy();
    UpdaterVm second("second", store, engines);
    for (int n = 0; n < 5; ++n) {
        decision::BackendServer engine = newEngine(n);
        engine.weightVersions["m"] = 2;
        engines.versions[engine.address] = 2;
        second.state.servers.put(engine, monotonicNow());
    }
    second.nameWeights(3);
    CHECK(runUntil([&] {
        return allHave(engines, 3);
    }));
    checkOrderIntervals(engines, UpdaterVm::options("").orderInterval);
}

TEST_CASE("a holder whose lease the store lost gives no more orders beside its successor")
{
    // Guards against two holders: the successor sees no lease in the copy, while the first one goes on with the lease that it knows (ONE).
    FakeStore store;
    FakeEngines engines;
    store.makeCopy();
    UpdaterVm first("first", store, engines);
    UpdaterVm second("second", store, engines);
    engines.loadTime = 100ms;
    for (std::uint64_t version = 2; version <= 5; ++version) {
        first.nameWeights(version);
        second.nameWeights(version);
        REQUIRE(runUntil([&] {
            return !engines.receivedOrders.empty() && engines.receivedOrders.back().order.version == version;
        }));
        store.restoreCopy();
    }
    CHECK(runUntil([&] {
        return allHave(engines, 5);
    }));
    checkOrderIntervals(engines, UpdaterVm::options("").orderInterval);
    std::set<std::uint64_t> holdersFencing;
    for (const ReceivedOrder &it : engines.receivedOrders) {
        holdersFencing.insert(it.order.fencing);
    }
    CHECK(holdersFencing.size() >= 4); // a lease of its own in each era
}

TEST_CASE("a VM knows the store's era from its first responses on, long before it reads the topic of orders")
{
    // Guards against a first roll-out that each VM delays, also on a store that names no era (VERSION).
    for (const bool namesEra : {true, false}) {
        CAPTURE(namesEra);
        GatewayFixture it(respondOk, true, [namesEra](GatewayFixture &fixture, GatewayOptions &) {
            if (!namesEra) {
                fixture.store.setNamesNoEra();
            }
        });
        it.store.put("servers", "a", it.serverAddresses[0] + " 1");
        runFor(300ms);
        it.store.put("operator", "weights", "2");
        REQUIRE(runUntil([&] {
            return it.hasLogged("orders_first_read");
        }));
        const nlohmann::json &line = it.lastLine("orders_first_read");
        CHECK(line["era"] == (namesEra ? 1 : 0));
        CHECK(line["era_known_ms"] >= 300);
        CHECK(line["wait_ms"] <= 4200 - 300);
    }
}
