#include "eventloop.h"
#include "weightupdaterfixture.h"

#include <doctest/doctest.h>

// Guards against two VMs that order the same engines at once, each by a lease that the other doesn't recognise, after one of them missed lease records (ONE).

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const std::string Topic = WeightUpdaterOptions().topic;

/// The list tells this VM that every engine has these weights.
void listAllWith(UpdaterVm &vm, std::uint64_t version)
{
    for (int n = 0; n < 5; ++n) {
        decision::BackendServer it = newEngine(n);
        it.weightVersions["m"] = version;
        vm.state.servers.put(it, monotonicNow());
    }
}

std::set<std::string> holdersOf(const FakeEngines &engines, std::uint64_t version)
{
    std::set<std::string> holders;
    for (const ReceivedOrder &it : engines.receivedOrders) {
        if (it.order.version == version) {
            holders.insert(it.order.holder);
        }
    }
    return holders;
}

/// Writes leases as another VM does that holds the lease and renews it.
class ForeignHolder
{
public:
    explicit ForeignHolder(FakeStore &store, std::string name = "x")
        : m_store(store)
        , m_name(std::move(name))
    {
    }

    void renew()
    {
        write(m_fencing);
    }

    /// Writes a lease that replaces `replaced`; the next renewal replaces it.
    void write(std::uint64_t replaced)
    {
        const std::string nonce = m_name + std::to_string(m_fencing);
        const std::string text
            = R"({"duration_ms":300,"era":1,"holder":")" + m_name + R"(","nonce":")" + nonce + R"(","replaces":)" + std::to_string(replaced) + "}";
        m_store.put(Topic, {}, QByteArray::fromStdString(text));
        m_fencing = (std::uint64_t{1} << 40U) + m_store.records(Topic).back().offset + 1;
    }

    std::uint64_t fencing() const
    {
        return m_fencing;
    }

private:
    FakeStore &m_store;
    std::string m_name;
    std::uint64_t m_fencing = 0;
};

} // namespace

TEST_CASE("two VMs that read different parts of the topic before the store drops it have one holder")
{
    for (int play = 0; play < 5; ++play) {
        FakeStore fake;
        FakeEngines engines;
        UpdaterVm one("one", fake, engines);
        UpdaterVm two("two", fake, engines);
        one.nameWeights(2);
        two.nameWeights(2);
        REQUIRE(runUntil([&] {
            return !engines.receivedOrders.empty();
        }));
        UpdaterVm &other = engines.receivedOrders.front().order.holder == "one" ? two : one;
        listAllWith(other, 2); // it stops reading the topic
        REQUIRE(runUntil([&] {
            return allHave(engines, 2);
        }));
        listAllWith(one, 2);
        listAllWith(two, 2);
        runFor(700ms);
        fake.forgetHistory(Topic);
        engines.receivedOrders.clear();
        one.nameWeights(3);
        two.nameWeights(3);
        CHECK(runUntil([&] {
            return allHave(engines, 3);
        }));
        runFor(300ms);
        CHECK(holdersOf(engines, 3).size() == 1);
        checkOrderIntervals(engines, 400ms);
    }
}

TEST_CASE("a VM that missed the last leases of a running holder gives no orders beside it")
{
    FakeStore fake;
    FakeEngines engines;
    ForeignHolder x(fake);
    UpdaterVm one("one", fake, engines);
    x.renew();
    one.nameWeights(2);
    runFor(50ms);
    listAllWith(one, 2); // it stops reading the topic
    runFor(50ms);
    for (int n = 0; n < 3; ++n) {
        x.renew();
    }
    fake.forgetHistory(Topic);
    one.nameWeights(3);
    for (int n = 0; n < 40; ++n) {
        runFor(50ms);
        x.renew();
    }
    CHECK(engines.receivedOrders.empty());
    CHECK(runUntil([&] {
        return allHave(engines, 3);
    }));
}

TEST_CASE("a VM that read no part of the topic gives no orders beside a holder, whatever record it read last in its wait")
{
    // A late record of a VM that lost the lease to the holder is the last one before the wait ends.
    FakeStore fake;
    FakeEngines engines;
    ForeignHolder x(fake);
    x.renew();
    x.renew();
    fake.forgetHistory(Topic);
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    const Instant startedAt = suspendAwareNow();
    while (suspendAwareNow() - startedAt < 500ms) {
        runFor(50ms);
        x.renew();
    }
    ForeignHolder late(fake, "late");
    late.write(x.fencing() - 1);
    runFor(150ms); // the wait of 600 ms is over
    for (int n = 0; n < 30; ++n) {
        x.renew();
        runFor(50ms);
    }
    CHECK(engines.receivedOrders.empty());
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}

TEST_CASE("an answer to a read from before a new era of the store tells nothing of the present records")
{
    // Guards against a VM that takes records of the new era for read: its writes named an end that the topic doesn't have.
    FakeStore fake;
    FakeEngines engines;
    UpdaterVm one("one", fake, engines);
    engines.isSilent = true; // so that the roll-out goes on
    one.nameWeights(2);
    REQUIRE(runUntil([&] {
        return fake.records(Topic).size() >= 5;
    }));
    std::function<void(StoreResult<RecordBatch>)> kept;
    const auto read = one.store.read;
    one.store.read = [&](const RecordQuery &query, auto done) {
        if (kept) {
            read(query, done);
        } else {
            kept = done;
        }
    };
    REQUIRE(runUntil([&] {
        return kept != nullptr;
    }));
    fake.restoreCopy(); // of the empty store
    runFor(100ms); // the refusal of the next renewal tells of the new era
    RecordBatch older;
    older.nextOffset = 1000;
    older.era = 2;
    kept(older);
    engines.isSilent = false;
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
}
