#include "eventloop.h"
#include "weightupdaterfixture.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

std::set<std::string> orderedAddresses(const FakeEngines &engines)
{
    std::set<std::string> addresses;
    for (const ReceivedOrder &it : engines.receivedOrders) {
        addresses.insert(it.order.address);
    }
    return addresses;
}

std::size_t mostLoadsAtOnce(const FakeEngines &engines)
{
    std::size_t most = 0;
    for (const ReceivedOrder &it : engines.receivedOrders) {
        const auto isWithin = [&](const ReceivedOrder &other) {
            return other.at <= it.at && it.at - other.at < engines.loadTime;
        };
        most = std::max(most, static_cast<std::size_t>(std::count_if(engines.receivedOrders.begin(), engines.receivedOrders.end(), isWithin)));
    }
    return most;
}

/// Writes what a holder wrote that announced a load of e0 and then renewed its lease this often. `more`: further fields of the leases.
void writeHistory(FakeStore &fake, int renewals, const QByteArray &more = {})
{
    const std::string topic = WeightUpdaterOptions().topic;
    fake.put(topic, {}, R"({"loading":"e0","version":2,"holder":"x"})");
    for (int n = 0; n <= renewals; ++n) {
        // The announcement has offset 0, so that the first lease has fencing number 2.
        const QByteArray replaced = QByteArray::number(n == 0 ? 0 : n + 1);
        fake.put(topic,
                 {},
                 R"({"holder":"x","era":1,"era_settled":true,"duration_ms":300,"nonce":"n)" + QByteArray::number(n) + R"(","replaces":)" + replaced + more
                     + "}");
    }
}

} // namespace

TEST_CASE("a successor orders other engines at once while it may not order its predecessor's yet")
{
    // Guards against a roll-out that stands still at each change of holder: engines that may not be ordered yet took the load slots.
    FakeStore fake;
    FakeEngines engines;
    engines.lostOrders = {"e0:1"};
    auto options = UpdaterVm::options("one");
    options.orderInterval = 3s;
    UpdaterVm one(options, fake, engines);
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return !engines.receivedOrders.empty();
    }));
    REQUIRE(engines.receivedOrders.front().order.address == "e0:1");
    one.updater.reset();
    const auto before = engines.receivedOrders.size();
    options.vm = "two";
    UpdaterVm two(options, fake, engines);
    const Instant startedAt = suspendAwareNow();
    two.nameWeights(2);
    REQUIRE(runUntil([&] {
        return engines.receivedOrders.size() > before;
    }));
    CHECK(engines.receivedOrders[before].at - startedAt < 2s);
    CHECK(engines.receivedOrders[before].order.address != "e0:1");
}

TEST_CASE("an order without answer or effect keeps no other engine from being ordered")
{
    // Guards against a roll-out that stands still while orders get no answer: each kept a load slot for seconds.
    FakeStore fake;
    FakeEngines engines;
    engines.lostOrders = {"e0:1"};
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    const Instant startedAt = suspendAwareNow();
    REQUIRE(runUntil([&] {
        return orderedAddresses(engines).size() == 5;
    }));
    CHECK(suspendAwareNow() - startedAt < 2500ms);
}

TEST_CASE("an announced load that didn't begin is called off in the topic")
{
    // Guards against engines that serve but get no requests for seconds: their announced load had no effect.
    FakeStore fake;
    FakeEngines engines;
    engines.lostOrders = {"e0:1"};
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    CHECK(runUntil([&] {
        const auto &records = fake.records(WeightUpdaterOptions().topic);
        return std::any_of(records.begin(), records.end(), [](const StoreRecord &it) {
            return it.value && it.value->contains("\"e0\"") && it.value->contains("\"version\":0");
        });
    }));
}

TEST_CASE("the number of concurrent loads follows the list of engines")
{
    // Guards against a slow roll-out for as long as a process lives: the number came from the list as it was at the first plan.
    FakeStore fake;
    FakeEngines engines;
    engines.loadTime = 100ms;
    auto options = UpdaterVm::options("one");
    options.maxLoadingShare = 0.4;
    UpdaterVm one(options, fake, engines);
    for (int n = 2; n < 5; ++n) {
        one.state.servers.remove("e" + std::to_string(n), monotonicNow(), false);
    }
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return !engines.receivedOrders.empty();
    }));
    for (int n = 2; n < 5; ++n) {
        one.state.servers.put(newEngine(n), monotonicNow());
    }
    REQUIRE(runUntil([&] {
        return allHave(engines, 2);
    }));
    CHECK(mostLoadsAtOnce(engines) == 2);
}

TEST_CASE("the engines with the oldest weights are ordered first")
{
    // Guards against old weights past their limit: engines that had just loaded one version were ordered to load the next before others had loaded any.
    FakeStore fake;
    FakeEngines engines;
    engines.loadTime = 100ms;
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return engines.receivedOrders.size() == 2;
    }));
    one.nameWeights(3);
    REQUIRE(runUntil([&] {
        return allHave(engines, 3);
    }));
    const auto again = std::find_if(engines.receivedOrders.begin() + 1, engines.receivedOrders.end(), [](const ReceivedOrder &it) {
        return it.order.address == "e0:1";
    });
    std::set<std::string> before;
    std::for_each(engines.receivedOrders.begin(), again, [&](const ReceivedOrder &it) {
        before.insert(it.order.address);
    });
    CHECK(before.size() == 5);
}

TEST_CASE("a holder that stops gives up its lease, and its successor orders without waiting for the end of it")
{
    // Guards against a roll-out that stands still in a rolling restart: each holder's lease ran on after its process had ended.
    FakeStore fake;
    FakeEngines engines;
    engines.isSilent = true;
    auto options = UpdaterVm::options("one");
    options.leaseDuration = 8s;
    UpdaterVm one(options, fake, engines);
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return fake.records(options.topic).size() >= 2;
    }));
    options.vm = "two";
    UpdaterVm two(options, fake, engines);
    two.nameWeights(2);
    runFor(300ms);
    const Instant stoppedAt = suspendAwareNow();
    bool isStopped = false;
    one.updater->finishStop([&] {
        isStopped = true;
    });
    engines.isSilent = false;
    REQUIRE(runUntil([&] {
        return isStopped && !engines.receivedOrders.empty();
    }));
    CHECK(engines.receivedOrders.front().order.holder == "two");
    CHECK(engines.receivedOrders.front().at - stoppedAt < 3s);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
    checkOrderIntervals(engines, 400ms);
}

TEST_CASE("a VM that stops leaves the lease to one that stays")
{
    // Guards against a roll-out that stands still in a rolling restart: stopping VMs took the lease and were gone before they had ordered.
    FakeStore fake;
    FakeEngines engines;
    auto options = UpdaterVm::options("one");
    options.stoppingDelay = 500ms;
    UpdaterVm one(options, fake, engines);
    one.setRunning();
    one.updater->beginStop();
    one.nameWeights(2);
    runFor(100ms); // a VM that stays would have the lease by now
    UpdaterVm two("two", fake, engines);
    two.setRunning();
    two.nameWeights(2);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
    CHECK(engines.receivedOrders.front().order.holder == "two");
}

TEST_CASE("a VM that stops requests the lease when no other does")
{
    FakeStore fake;
    FakeEngines engines;
    auto options = UpdaterVm::options("one");
    options.stoppingDelay = 200ms;
    UpdaterVm one(options, fake, engines);
    one.updater->beginStop();
    one.nameWeights(2);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}

TEST_CASE("a VM that starts may order an engine whose last order was renewals of the lease ago that take longer than the order interval")
{
    // Guards against a roll-out that stands still after each restart: a fresh VM took every order in the topic for one that had just left.
    FakeStore fake;
    FakeEngines engines;
    writeHistory(fake, 80);
    auto options = UpdaterVm::options("two");
    options.orderInterval = 3s;
    UpdaterVm two(options, fake, engines);
    const Instant startedAt = suspendAwareNow();
    two.nameWeights(2);
    REQUIRE(runUntil([&] {
        return orderedAddresses(engines).contains("e0:1");
    }));
    CHECK(suspendAwareNow() - startedAt < 2500ms);
}

TEST_CASE("a VM that starts waits the order interval at an engine whose last order was fewer renewals of the lease ago")
{
    FakeStore fake;
    FakeEngines engines;
    writeHistory(fake, 10); // these take at least 500 ms
    auto options = UpdaterVm::options("two");
    options.orderInterval = 3s;
    const Instant startedAt = suspendAwareNow();
    UpdaterVm two(options, fake, engines);
    two.nameWeights(2);
    REQUIRE(runUntil([&] {
        return orderedAddresses(engines).contains("e0:1");
    }));
    CHECK(suspendAwareNow() - startedAt > 2500ms);
}

TEST_CASE("a VM that starts waits the order interval at an engine whose last order was followed by leases that renewed none")
{
    // Guards against orders of two VMs within the order interval: leases that follow each other at once, as their writer held none, passed for time that went
    // by.
    FakeStore fake;
    FakeEngines engines;
    writeHistory(fake, 80, R"(,"renews":false)");
    auto options = UpdaterVm::options("two");
    options.orderInterval = 3s;
    const Instant startedAt = suspendAwareNow();
    UpdaterVm two(options, fake, engines);
    two.nameWeights(2);
    REQUIRE(runUntil([&] {
        return orderedAddresses(engines).contains("e0:1");
    }));
    CHECK(suspendAwareNow() - startedAt > 2500ms);
}

TEST_CASE("a VM gets the lease however many servers are listed")
{
    // Guards against a large fleet without any roll-out: the interval between two reads grew beyond the lease, so each VM read its lease after it had expired.
    FakeStore fake;
    FakeEngines engines;
    auto options = UpdaterVm::options("one");
    options.readIntervalPerServer = options.leaseDuration;
    UpdaterVm one(options, fake, engines);
    one.nameWeights(2);
    CHECK(runUntil(
        [&] {
            return allHave(engines, 2);
        },
        5s));
}

TEST_CASE("a holder whose appends take as long as its renewals are apart still orders")
{
    // Guards against a roll-out that stands still while the store is slow: the lease was renewed without end, and no order was announced in between.
    FakeStore fake;
    FakeEngines engines;
    constexpr auto Latency = 80ms; // a renewal is due 50 ms after the one before
    fake.setAppendAnswerDelay(Latency);
    UpdaterVm one("one", fake, engines);
    const auto read = one.store.read;
    one.store.read = [&](const RecordQuery &query, auto done) {
        read(query, [done, Latency](const StoreResult<RecordBatch> &result) {
            QTimer::singleShot(Latency, [done, result] {
                done(result);
            });
        });
    };
    one.nameWeights(2);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}

TEST_CASE("a holder reads what it wrote, so that its reads follow each other without a hole")
{
    // Guards against calls to the store by every VM that reads through a relay: a hole in what the relay read empties its cache.
    FakeStore fake;
    FakeEngines engines;
    engines.loadTime = 30ms;
    UpdaterVm one("one", fake, engines);
    std::uint64_t next = 0;
    int holes = 0;
    const auto read = one.store.read;
    one.store.read = [&](const RecordQuery &query, auto done) {
        holes += query.from > next ? 1 : 0;
        read(query, [&next, done](const StoreResult<RecordBatch> &result) {
            next = result ? std::max(next, result.value().nextOffset) : next;
            done(result);
        });
    };
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return allHave(engines, 2);
    }));
    CHECK(next > 5);
    CHECK(holes == 0);
}

TEST_CASE("no order leaves on a connection that opens later than allowed after its announcement")
{
    // Guards against orders of two VMs within the order interval: the lease was last looked at before the connection was opened.
    FakeStore fake;
    FakeEngines engines;
    const auto options = UpdaterVm::options("one");
    engines.connectTime = options.maxOrderDelay + 50ms;
    UpdaterVm one(options, fake, engines);
    one.nameWeights(2);
    runFor(1s);
    CHECK(engines.receivedOrders.empty());
    engines.connectTime = 1ms;
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}

TEST_CASE("no order leaves later than allowed after its announcement was sent")
{
    // Guards against orders of two VMs within the order interval: others count from the announcement's record, which they may read before its sender gets the
    // store's answer.
    FakeStore fake;
    FakeEngines engines;
    const auto options = UpdaterVm::options("one");
    fake.setAppendAnswerDelay(options.maxOrderDelay + 50ms);
    UpdaterVm one(options, fake, engines);
    one.nameWeights(2);
    runFor(1s);
    CHECK(engines.receivedOrders.empty());
    fake.setAppendAnswerDelay(0ms);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}
