#include "eventloop.h"
#include "weightupdaterfixture.h"

#include <doctest/doctest.h>

// Guards against a VM that orders beside a holder whose lease and announcements the store lost, since nothing told it that records are missing (ONE).

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const std::chrono::milliseconds OrderInterval = UpdaterVm::options("").orderInterval;

/// No call of this VM to the store is answered from now on.
void hangStoreCalls(UpdaterVm &vm)
{
    vm.store.read = [](const RecordQuery & /*query*/, const auto & /*done*/) {
    };
    vm.store.append = [](const RecordAppend & /*records*/, const auto & /*done*/) {
    };
}

/// Calls of this VM to the store fail while `isCutOff` holds.
void failStoreCalls(UpdaterVm &vm, FakeStore &fake, const bool &isCutOff)
{
    const RecordStore whole = fake.hooks();
    vm.store.read = [whole, &isCutOff](const RecordQuery &query, const auto &done) {
        if (!isCutOff) {
            whole.read(query, done);
            return;
        }
        QTimer::singleShot(5ms, [done] {
            done(failure(StoreError::Unreachable));
        });
    };
}

bool hasOrdered(const FakeEngines &engines, const std::string &vm)
{
    return std::any_of(engines.receivedOrders.begin(), engines.receivedOrders.end(), [&vm](const ReceivedOrder &it) {
        return it.order.holder == vm;
    });
}

/// Names weights at this VM and waits until all engines have them.
void rollOut(UpdaterVm &vm, FakeEngines &engines, std::uint64_t version)
{
    vm.nameWeights(version);
    REQUIRE(runUntil([&] {
        return allHave(engines, version);
    }));
}

} // namespace

TEST_CASE("a VM that starts in the store's second era sends no order beside one whose lease the store lost")
{
    for (int play = 0; play < 8; ++play) {
        CAPTURE(play);
        FakeStore fake;
        FakeEngines oneEngines;
        FakeEngines twoEngines;
        fake.makeCopy();
        UpdaterVm one("one", fake, oneEngines);
        runFor(700ms); // it has waited after its start
        oneEngines.reportTime = 60ms + play * 15ms;
        one.nameWeights(2);
        REQUIRE(runUntil([&] {
            return fake.records(WeightUpdaterOptions().topic).size() >= 2;
        }));
        runFor(10ms);
        hangStoreCalls(one);
        fake.restoreCopy();
        UpdaterVm two("two", fake, twoEngines);
        two.nameWeights(2);
        CHECK(runUntil([&] {
            return allHave(twoEngines, 2);
        }));
        FakeEngines both; // they are the same engines
        both.receivedOrders = oneEngines.receivedOrders;
        both.receivedOrders.insert(both.receivedOrders.end(), twoEngines.receivedOrders.begin(), twoEngines.receivedOrders.end());
        std::stable_sort(both.receivedOrders.begin(), both.receivedOrders.end(), [](const ReceivedOrder &a, const ReceivedOrder &b) {
            return a.at < b.at;
        });
        checkOrderIntervals(both, OrderInterval);
    }
}

TEST_CASE("a VM that starts in the store's second era keeps the order interval after orders whose announcements the store lost")
{
    for (int play = 0; play < 8; ++play) {
        CAPTURE(play);
        FakeStore fake;
        FakeEngines engines;
        fake.makeCopy();
        UpdaterVm one("one", fake, engines);
        rollOut(one, engines, 2);
        hangStoreCalls(one);
        fake.restoreCopy();
        UpdaterVm two("two", fake, engines);
        two.nameWeights(3);
        CHECK(runUntil([&] {
            return hasOrdered(engines, "two");
        }));
        checkOrderIntervals(engines, OrderInterval);
    }
}

TEST_CASE("a VM that first reaches the store after it returned from an older copy sends no order beside one whose lease the store lost")
{
    // It may have started long before.
    FakeStore fake;
    FakeEngines engines;
    fake.makeCopy();
    bool isCutOff = true;
    UpdaterVm two("two", fake, engines);
    failStoreCalls(two, fake, isCutOff);
    runFor(100ms);
    UpdaterVm one("one", fake, engines);
    runFor(700ms);
    two.nameWeights(3);
    rollOut(one, engines, 2);
    hangStoreCalls(one);
    fake.restoreCopy();
    isCutOff = false;
    CHECK(runUntil([&] {
        return hasOrdered(engines, "two");
    }));
    checkOrderIntervals(engines, OrderInterval);
}

TEST_CASE("a VM that has known the store's era for a while sends its first order as soon as weights are named")
{
    // Guards against a first roll-out that each VM delays, since it reads the topic of orders only then (VERSION).
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    one.setRunning();
    const Instant namedAt = suspendAwareNow();
    rollOut(one, engines, 2);
    REQUIRE(!engines.receivedOrders.empty());
    CHECK(engines.receivedOrders.front().at - namedAt < 400ms);
}

TEST_CASE("a VM that starts doesn't wait where a lease shows that another VM has waited in the store's era")
{
    // Guards against a roll-out that stands still after all VMs were replaced (VERSION).
    FakeStore fake;
    FakeEngines engines;
    fake.put(WeightUpdaterOptions().topic, {}, R"({"holder":"x","era":1,"era_settled":true,"duration_ms":0,"nonce":"n","replaces":0,"renews":false})");
    UpdaterVm two("two", fake, engines);
    const Instant startedAt = suspendAwareNow();
    rollOut(two, engines, 2);
    REQUIRE(!engines.receivedOrders.empty());
    CHECK(engines.receivedOrders.front().at - startedAt < 600ms);
}

TEST_CASE("a lease that doesn't tell whether its writer has waited spares a VM that starts no wait")
{
    // Guards against the same beside a VM of an earlier build, which waits only in later eras.
    FakeStore fake;
    FakeEngines engines;
    fake.put(WeightUpdaterOptions().topic, {}, R"({"holder":"x","era":1,"duration_ms":0,"nonce":"n","replaces":0,"renews":false})");
    UpdaterVm two("two", fake, engines);
    const Instant startedAt = suspendAwareNow();
    rollOut(two, engines, 2);
    REQUIRE(!engines.receivedOrders.empty());
    CHECK(engines.receivedOrders.front().at - startedAt >= 600ms);
}

TEST_CASE("a lease of an earlier era doesn't spare a VM that starts the wait")
{
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    rollOut(one, engines, 2);
    fake.makeCopy();
    rollOut(one, engines, 3);
    hangStoreCalls(one);
    fake.restoreCopy();
    UpdaterVm two("two", fake, engines);
    two.nameWeights(4);
    CHECK(runUntil([&] {
        return hasOrdered(engines, "two");
    }));
    checkOrderIntervals(engines, OrderInterval);
}
