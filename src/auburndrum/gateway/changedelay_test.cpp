#include "auburndrum/gateway/keyedfeed.h"

#include "eventloop.h"
#include "fakestore.h"
#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// The time within which a change of the store is in force, and what a VM answers that can't know whether it has all of them.

namespace {

constexpr char Topic[] = "topic";
constexpr std::chrono::milliseconds Bound{2500}; // from the acknowledgement of a change until each VM applies it
constexpr std::chrono::milliseconds ApplyTime{250}; // of the bound, for an event loop that runs late

/// A feed with the options of a VM, and whether it reported a change.
struct Follower
{
    explicit Follower(FakeStore &fake)
        : Follower(fake.hooks())
    {
    }

    explicit Follower(const RecordStore &hooks)
        : store(hooks)
        , feed({.topic = Topic}, store, {.onChange = [this](const std::string & /*key*/, const std::optional<QByteArray> & /*value*/, bool /*duringOutage*/) {
                   ++changes;
                   return true;
               }})
    {
        feed.start();
        REQUIRE(runUntil([this] {
            return feed.isSynced();
        }));
    }

    RecordStore store;
    int changes = 0;
    KeyedFeed feed;
};

void respondOk(const std::shared_ptr<net::Exchange> &exchange, int /*call*/)
{
    exchange->respond(200, {{"Id", "request-1"}, {"Seal", "s"}}, "done");
}

} // namespace

TEST_CASE("a change is in force in time when the answers to one or two reads in a row are lost")
{
    // Guards against a VM that refuses a new key, or takes a revoked one, for longer than allowed: a lost answer was awaited for 2.5 s from the begin of its
    // read, and the answer to its repeat for one more second (CONFIG).
    for (const int lost : {1, 2}) {
        CAPTURE(lost);
        FakeStore fake;
        fake.setCallTimeout(1s);
        Follower it(fake);
        runFor(200ms); // the next read waits at the store
        fake.loseReads(lost - 1);
        fake.put(Topic, "key", "new");
        CHECK(runUntil(
            [&it] {
                return it.changes == 1;
            },
            Bound - ApplyTime));
    }
}

TEST_CASE("reads whose answers are not lost are sent once")
{
    // Guards against calls to the store that are repeated though nothing is wrong; each of them is priced.
    FakeStore fake;
    Follower it(fake);
    const int before = fake.calls();
    runFor(4s);
    CHECK(fake.calls() - before <= 4); // a read of 1.5 s each
}

TEST_CASE("a store whose answers come late, though not lost, is given more time")
{
    // Guards against reads that are all sent twice, and more, to a store that is slow already.
    FakeStore fake;
    RecordStore slow = fake.hooks();
    slow.read = [read = slow.read](const RecordQuery &query, auto done) {
        read(query, [done](const StoreResult<RecordBatch> &result) {
            QTimer::singleShot(400ms, [done, result] {
                done(result);
            });
        });
    };
    Follower it(slow);
    runFor(4s); // the feed learns that
    const int before = fake.calls();
    runFor(6s);
    CHECK(fake.calls() - before <= 6); // a read of 1.5 s each, most of them without a repeat
    fake.put(Topic, "key", "new");
    CHECK(runUntil(
        [&it] {
            return it.changes == 1;
        },
        Bound));
}

TEST_CASE("a VM that starts has what the store holds in time when the answer to its first read is lost")
{
    // Guards against a VM that is ready late, or not at all, since it waits for an answer that never comes (CONFIG).
    FakeStore fake;
    fake.setCallTimeout(1s);
    fake.put(Topic, "key", "there");
    RecordStore hooks = fake.hooks();
    hooks.readNewest = [&fake, calls = 0](const std::string &topic, const std::string &afterKey, auto done) mutable {
        if (++calls > 2) {
            fake.hooks().readNewest(topic, afterKey, done);
        }
    };
    const Instant begin = monotonicNow();
    const Follower it(hooks);
    CHECK(it.changes == 1);
    CHECK(monotonicNow() - begin < 1s);
}

TEST_CASE("a VM that can't know whether it has all changes refuses an unknown key or route as not run, and serves the ones it knows")
{
    // Guards against a final refusal of a caller whose key was just added: the VM had not heard from the store for seconds (CONFIG).
    GatewayFixture it(respondOk);
    CHECK(it.sendRequest("/safe/", "POST", "new key").head.status == 401);
    CHECK(it.sendRequest("/new/").head.status == 404);
    it.store.setCallTimeout(1s);
    it.store.setLosesReads(true);
    runFor(Bound + 1600ms); // the last answer may be as old as a read takes
    const auto unknownKey = it.sendRequest("/safe/", "POST", "new key").head;
    CHECK(unknownKey.status == 503);
    CHECK(unknownKey.header("Retry-After").toDouble() > 0);
    CHECK(it.sendRequest("/new/").head.status == 503);
    CHECK(it.sendRequest("/safe/").head.status == 200);
    it.store.put("operator", "configuration", "2");
    it.store.setLosesReads(false);
    REQUIRE(runUntil(
        [&it] {
            return it.hasLogged("configuration", 2);
        },
        Bound));
    CHECK(it.sendRequest("/safe/", "POST", "new key").head.status == 401);
    CHECK(it.sendRequest("/new/").head.status == 404);
}
