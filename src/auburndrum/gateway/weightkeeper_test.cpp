#include "auburndrum/gateway/weightkeeper.h"

#include "eventloop.h"
#include "fakestore.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

struct Given
{
    Instant at;
    WeightOrder order;
};

/// Engines that load weights at once, and every order that they got.
class FakeEngines
{
public:
    EngineControl hooks()
    {
        EngineControl it;
        it.readReport = [this](const std::string &address, auto done) {
            QTimer::singleShot(1ms, &m_context, [this, address, done] {
                done(isSilent ? std::nullopt : std::optional(EngineReport{{{"m", versions[address]}}, false, accepted[address]}));
            });
        };
        it.sendOrder = [this](const WeightOrder &order, auto done) {
            QTimer::singleShot(1ms, &m_context, [this, order, done] {
                given.push_back({suspendAwareNow(), order});
                if (order.expectedOrders != accepted[order.address]) {
                    done(OrderAnswer::Conflict);
                    return;
                }
                ++accepted[order.address];
                versions[order.address] = order.version;
                done(losesAnswers ? OrderAnswer::Unknown : OrderAnswer::Accepted);
            });
        };
        return it;
    }

    std::map<std::string, std::uint64_t> versions; ///< by address
    std::map<std::string, std::uint64_t> accepted;
    std::vector<Given> given;
    bool isSilent = false;
    bool losesAnswers = false;

private:
    QObject m_context;
};

/// One entry VM's keeper with its own view of five engines.
class Keeper
{
public:
    Keeper(const std::string &vm, FakeStore &fake, FakeEngines &engines)
        : state({.zone = "z"},
                {.vm = vm,
                 .write =
                     [](std::string_view) {
                     }},
                Wire{},
                {})
        , store(fake.hooks())
        , control(engines.hooks())
        , keeper(std::make_unique<WeightUpdater>(options(vm), state, store, control))
    {
        for (int n = 0; n < 5; ++n) {
            decision::BackendServer it;
            it.id = "e" + std::to_string(n);
            it.service = "llm";
            it.address = it.id + ":1";
            it.weightVersions["m"] = 1;
            engines.versions[it.address] = 1;
            state.servers.put(it, monotonicNow());
        }
        keeper->start();
    }

    static WeightUpdaterOptions options(const std::string &vm)
    {
        WeightUpdaterOptions it;
        it.vm = vm;
        it.orderInterval = 400ms;
        it.maxOrderDelay = 200ms;
        it.leaseDuration = 300ms;
        it.leaseMargin = 100ms;
        it.minStandbyDelay = 20ms;
        it.standbySpread = 30ms;
        it.tickInterval = 5ms;
        it.readInterval = 5ms;
        it.announceLeadTime = 5ms;
        it.loadPollInterval = 10ms;
        return it;
    }

    void name(std::uint64_t version)
    {
        state.weights["m"].addVersion(version, monotonicNow(), false);
    }

    GatewayState state;
    RecordStore store;
    EngineControl control;
    std::unique_ptr<WeightUpdater> keeper;
};

bool allHave(const FakeEngines &engines, std::uint64_t version)
{
    return std::all_of(engines.versions.begin(), engines.versions.end(), [version](const auto &it) {
        return it.second == version;
    });
}

/// No two VMs order one engine within the turn, fencing numbers never fall at one engine, and no two VMs share one.
void checkTurns(const FakeEngines &engines, std::chrono::milliseconds turn)
{
    for (std::size_t n = 0; n < engines.given.size(); ++n) {
        for (std::size_t m = 0; m < n; ++m) {
            const Given &later = engines.given[n];
            const Given &earlier = engines.given[m];
            const bool isOtherVm = later.order.holder != earlier.order.holder;
            if (isOtherVm) {
                CHECK(later.order.fencing != earlier.order.fencing);
            }
            if (later.order.address != earlier.order.address) {
                continue;
            }
            CHECK(later.order.fencing >= earlier.order.fencing);
            if (isOtherVm) {
                CHECK(later.at - earlier.at >= turn);
            }
        }
    }
}

} // namespace

TEST_CASE("no store calls are made while every engine has the named weights")
{
    FakeStore fake;
    FakeEngines engines;
    const Keeper one("one", fake, engines);
    runFor(200ms);
    CHECK(fake.calls() == 0);
    CHECK(engines.given.empty());
}

TEST_CASE("one of three entry VMs brings every engine to the named weights")
{
    FakeStore fake;
    FakeEngines engines;
    Keeper one("one", fake, engines);
    Keeper two("two", fake, engines);
    Keeper three("three", fake, engines);
    for (Keeper *it : {&one, &two, &three}) {
        it->name(2);
    }
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
    CHECK(engines.given.size() == 5);
    CHECK(std::all_of(engines.given.begin(), engines.given.end(), [&](const Given &it) {
        return it.order.holder == engines.given.front().order.holder;
    }));
    checkTurns(engines, 400ms);
}

TEST_CASE("when the lease holder dies its successor continues, and waits the order interval at engines that the holder ordered")
{
    // Guards against overlapping orders: the sender of the last order fails during a roll-out, then another version is named.
    FakeStore fake;
    FakeEngines engines;
    Keeper one("one", fake, engines);
    one.name(2);
    REQUIRE(runUntil([&] {
        return engines.given.size() >= 2;
    }));
    one.keeper.reset();
    Keeper two("two", fake, engines);
    for (auto &[address, version] : engines.versions) {
        engines.versions[address] = version; // the engines keep what they have; the new view learns it from their reports
    }
    two.name(3);
    CHECK(runUntil([&] {
        return allHave(engines, 3);
    }));
    CHECK(engines.given.back().order.holder == "two");
    checkTurns(engines, 400ms);
}

TEST_CASE("a VM that starts after the store dropped its history waits the order interval, since orders may have been sent just before")
{
    // Guards against overlapping orders (soak seed 23): orders are sent, all VMs are killed, the store drops its history, and other versions are named.
    FakeStore fake;
    FakeEngines engines;
    Keeper one("one", fake, engines);
    one.name(2);
    REQUIRE(runUntil([&] {
        return engines.given.size() >= 3;
    }));
    one.keeper.reset();
    fake.forgetHistory(WeightUpdaterOptions().topic);
    Keeper two("two", fake, engines);
    two.name(3);
    CHECK(runUntil([&] {
        return allHave(engines, 3);
    }));
    checkTurns(engines, 400ms);
}

TEST_CASE("a VM that starts after the store dropped its history recognizes the holder that still renews its lease")
{
    FakeStore fake;
    FakeEngines engines;
    engines.isSilent = true; // so that the loads stay incomplete
    Keeper one("one", fake, engines);
    one.name(2);
    REQUIRE(runUntil([&] {
        return fake.records(WeightUpdaterOptions().topic).size() >= 5;
    }));
    fake.forgetHistory(WeightUpdaterOptions().topic);
    Keeper two("two", fake, engines);
    two.name(2);
    runFor(1500ms); // longer than a VM without history waits
    engines.isSilent = false;
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
    CHECK(std::all_of(engines.given.begin(), engines.given.end(), [](const Given &it) {
        return it.order.holder == "one";
    }));
}

TEST_CASE("an order is announced before it leaves, and none leaves without its announcement")
{
    FakeStore fake;
    FakeEngines engines;
    Keeper one("one", fake, engines);
    one.name(2);
    REQUIRE(runUntil([&] {
        return !engines.given.empty();
    }));
    const auto &records = fake.records("auburndrum-orders");
    CHECK(std::any_of(records.begin(), records.end(), [&](const StoreRecord &it) {
        return it.value && it.value->contains(QByteArray::fromStdString("\"" + engines.given.front().order.serverId + "\""));
    }));
    fake.setError(StoreError::Unreachable);
    runFor(400ms); // orders prepared before the outage have left, and the lease is over
    const auto before = engines.given.size();
    runFor(500ms);
    CHECK(engines.given.size() == before);
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
    Keeper one("one", fake, engines);
    Keeper two("two", fake, engines);
    one.name(2);
    two.name(2);
    runFor(500ms);
    CHECK(engines.given.empty()); // leases are held, but no announcement is known to be stored
    fake.setLosesAnswers(false);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
    checkTurns(engines, 400ms);
}

TEST_CASE("malformed records are skipped")
{
    FakeStore fake;
    FakeEngines engines;
    for (const char *it : {"no json", "[]", "{}", R"({"loading":7,"holder":"x"})", R"({"holder":"x","nonce":"n","replaces":-1,"duration_ms":"long"})"}) {
        fake.put("auburndrum-orders", {}, QByteArray(it));
    }
    Keeper one("one", fake, engines);
    one.name(2);
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}

TEST_CASE("an engine that gives no report gets no order")
{
    FakeStore fake;
    FakeEngines engines;
    engines.isSilent = true;
    Keeper one("one", fake, engines);
    one.name(2);
    runFor(300ms);
    CHECK(engines.given.empty());
}
