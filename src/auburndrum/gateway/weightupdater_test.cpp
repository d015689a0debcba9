#include "eventloop.h"
#include "weightupdaterfixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

TEST_CASE("no store calls are made while every engine has the named weights")
{
    FakeStore fake;
    FakeEngines engines;
    const UpdaterVm one("one", fake, engines);
    runFor(200ms);
    CHECK(fake.calls() == 0);
    CHECK(engines.receivedOrders.empty());
}

TEST_CASE("one of three entry VMs brings every engine to the named weights")
{
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    UpdaterVm two("two", fake, engines);
    UpdaterVm three("three", fake, engines);
    for (UpdaterVm *it : {&one, &two, &three}) {
        it->nameWeights(2);
    }
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
    CHECK(engines.receivedOrders.size() == 5);
    CHECK(std::all_of(engines.receivedOrders.begin(), engines.receivedOrders.end(), [&](const ReceivedOrder &it) {
        return it.order.holder == engines.receivedOrders.front().order.holder;
    }));
    checkOrderIntervals(engines, 400ms);
}

TEST_CASE("when the lease holder dies its successor continues, and waits the order interval at engines that the holder ordered")
{
    // Guards against overlapping orders: the sender of the last order fails during a roll-out, then another version is named.
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return engines.receivedOrders.size() >= 2;
    }));
    one.updater.reset();
    UpdaterVm two("two", fake, engines);
    for (auto &[address, version] : engines.versions) {
        engines.versions[address] = version; // the engines keep their weights; the new VM reads the versions from their reports
    }
    two.nameWeights(3);
    CHECK(runUntil([&] {
        return allHave(engines, 3);
    }));
    CHECK(engines.receivedOrders.back().order.holder == "two");
    checkOrderIntervals(engines, 400ms);
}

TEST_CASE("a VM that starts after the store dropped its history waits the order interval, since orders may have been sent just before")
{
    // Guards against overlapping orders (soak seed 23): orders are sent, all VMs are killed, the store drops its history, and other versions are named.
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return engines.receivedOrders.size() >= 3;
    }));
    one.updater.reset();
    fake.forgetHistory(WeightUpdaterOptions().topic);
    UpdaterVm two("two", fake, engines);
    two.nameWeights(3);
    CHECK(runUntil([&] {
        return allHave(engines, 3);
    }));
    checkOrderIntervals(engines, 400ms);
}

TEST_CASE("a VM that starts after the store dropped its history recognizes the holder that still renews its lease")
{
    FakeStore fake;
    FakeEngines engines;
    engines.isSilent = true; // so that the loads stay incomplete
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return fake.records(WeightUpdaterOptions().topic).size() >= 5;
    }));
    fake.forgetHistory(WeightUpdaterOptions().topic);
    UpdaterVm two("two", fake, engines);
    two.nameWeights(2);
    runFor(1500ms); // longer than a VM without history waits
    engines.isSilent = false;
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
    CHECK(std::all_of(engines.receivedOrders.begin(), engines.receivedOrders.end(), [](const ReceivedOrder &it) {
        return it.order.holder == "one";
    }));
}

TEST_CASE("an order is announced before it leaves, and none leaves without its announcement")
{
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return !engines.receivedOrders.empty();
    }));
    const auto &records = fake.records("auburndrum-orders");
    CHECK(std::any_of(records.begin(), records.end(), [&](const StoreRecord &it) {
        return it.value && it.value->contains(QByteArray::fromStdString("\"" + engines.receivedOrders.front().order.serverId + "\""));
    }));
    fake.setError(StoreError::Unreachable);
    runFor(400ms); // orders prepared before the outage have left, and the lease is over
    const auto before = engines.receivedOrders.size();
    runFor(500ms);
    CHECK(engines.receivedOrders.size() == before);
    fake.setError(std::nullopt);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}

TEST_CASE("appends that succeed without a response don't lead to two lease holders")
{
    FakeStore fake;
    FakeEngines engines;
    fake.setLosesAnswers(true);
    UpdaterVm one("one", fake, engines);
    UpdaterVm two("two", fake, engines);
    one.nameWeights(2);
    two.nameWeights(2);
    runFor(500ms);
    CHECK(engines.receivedOrders.empty()); // leases are held, but no announcement is known to be stored
    fake.setLosesAnswers(false);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
    checkOrderIntervals(engines, 400ms);
}

TEST_CASE("malformed records are skipped")
{
    FakeStore fake;
    FakeEngines engines;
    for (const char *it : {"no json", "[]", "{}", R"({"loading":7,"holder":"x"})", R"({"holder":"x","nonce":"n","replaces":-1,"duration_ms":"long"})"}) {
        fake.put("auburndrum-orders", {}, QByteArray(it));
    }
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}

TEST_CASE("an engine that gives no report gets no order")
{
    FakeStore fake;
    FakeEngines engines;
    engines.isSilent = true;
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    runFor(300ms);
    CHECK(engines.receivedOrders.empty());
}

// Guards against engines that are ordered back by a VM that starts after the store returned to a copy without the newest named version.
TEST_CASE("engines that have newer weights than the newest named version that this VM knows aren't ordered back")
{
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    one.setRunning();
    for (int n = 0; n < 5; ++n) {
        decision::BackendServer it = newEngine(n);
        it.weightVersions["m"] = 3;
        engines.versions[it.address] = 3;
        one.state.servers.put(it, monotonicNow());
    }
    one.nameWeights(2);
    runFor(500ms);
    CHECK(engines.receivedOrders.empty());
    CHECK(fake.calls() == 0);
}

// Guards against the same where other engines are outdated, and where the list doesn't show the newer weights yet.
TEST_CASE("engines that have newer weights than the ones of a roll-out aren't ordered back in it")
{
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    one.setRunning();
    decision::BackendServer newer = newEngine(0);
    newer.weightVersions["m"] = 3;
    one.state.servers.put(newer, monotonicNow());
    engines.versions["e0:1"] = 3;
    engines.versions["e1:1"] = 3;
    one.nameWeights(2);
    CHECK(runUntil([&] {
        return engines.versions["e2:1"] != 1 && engines.versions["e3:1"] != 1 && engines.versions["e4:1"] != 1;
    }));
    CHECK(runUntil([&] {
        return one.state.servers.find("e1")->server.weightVersions.at("m") == 3;
    }));
    runFor(200ms);
    CHECK(engines.versions == std::map<std::string, std::uint64_t>{{"e0:1", 3}, {"e1:1", 3}, {"e2:1", 2}, {"e3:1", 2}, {"e4:1", 2}});
    CHECK(engines.receivedOrders.size() == 3);
}

// Guards against processes that end over a record of another writer in the topic of orders, such as one whose era is no number.
TEST_CASE("odd records in the topic of orders are skipped, and orders go on")
{
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    for (const QByteArray record : {R"({"holder":"x","nonce":"n","replaces":0,"duration_ms":3000,"era":"one"})",
                                    R"({"holder":"x","nonce":"n","replaces":0,"duration_ms":3000,"era":-1})",
                                    R"({"holder":"x","nonce":"n","replaces":0,"duration_ms":18446744073709551615,"era":1})",
                                    R"({"holder":"x","nonce":"n","replaces":18446744073709551615,"duration_ms":1,"era":1})",
                                    R"({"holder":"x","loading":"e1","version":1e300})",
                                    "[[[",
                                    ""}) {
        bool isAppended = false;
        fake.hooks().append({UpdaterVm::options("one").topic, {record}, {}}, [&](const StoreResult<AppendedRecords> &) {
            isAppended = true;
        });
        CHECK(runUntil([&] {
            return isAppended;
        }));
    }
    one.nameWeights(2);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}
