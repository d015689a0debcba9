#include "auburndrum/gateway/keyedfeed.h"

#include "eventloop.h"
#include "fakestore.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr char Topic[] = "topic";

/// A store whose waiting reads return only at the end of their time, also when a record has arrived meanwhile.
RecordStore withoutWakeups(const RecordStore &store)
{
    RecordStore it = store;
    it.read = [store](const RecordQuery &query, auto done) {
        QTimer::singleShot(query.wait, [store, query, done] {
            store.read({query.topic, query.from}, done);
        });
    };
    return it;
}

} // namespace

TEST_CASE("a record for which the store doesn't wake a waiting read is reported with time left in the 2.5 s in which it must be in force")
{
    // Guards against requests to a server that has been draining for longer than allowed: the read that missed its wake-up waited for 3 s.
    FakeStore fake;
    const RecordStore store = withoutWakeups(fake.hooks());
    int changes = 0;
    KeyedFeed feed(
        {.topic = Topic}, store, {.onChange = [&changes](const std::string & /*key*/, const std::optional<QByteArray> & /*value*/, bool /*duringOutage*/) {
            ++changes;
            return true;
        }});
    feed.start();
    REQUIRE(runUntil([&] {
        return feed.isSynced();
    }));
    runFor(50ms); // the first read waits at the store
    fake.put(Topic, "server", "draining");
    CHECK(runUntil(
        [&] {
            return changes == 1;
        },
        2s));
}
