#include "auburndrum/gateway/keyedfeed.h"

#include "eventloop.h"
#include "fakestore.h"

#include <doctest/doctest.h>

#include <thread>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr char Topic[] = "topic";

} // namespace

TEST_CASE("a record written while the process was paused counts as possibly there from before it was written")
{
    // Guards against counting weights as replaced seconds too late: an answer that lay unread during a pause counted as read when the pause ended.
    FakeStore fake;
    const RecordStore store = fake.hooks();
    int changes = 0;
    std::optional<Instant> possiblyThereSince;
    KeyedFeed *self = nullptr;
    KeyedFeedHooks hooks;
    hooks.onChange = [&](const std::string & /*key*/, const std::optional<QByteArray> & /*value*/, bool /*duringOutage*/) {
        ++changes;
        possiblyThereSince = self->previousReadAt();
        return true;
    };
    KeyedFeed feed({.topic = Topic, .readInterval = 10ms}, store, std::move(hooks));
    self = &feed;
    feed.start();
    REQUIRE(runUntil([&] {
        return feed.isSynced();
    }));
    runFor(50ms);
    fake.put(Topic, "a", "1"); // answers the waiting read
    const Instant writtenAt = suspendAwareNow();
    fake.put(Topic, "b", "1");
    std::this_thread::sleep_for(200ms); // the answer arrives meanwhile
    REQUIRE(runUntil([&] {
        return changes == 2;
    }));
    REQUIRE(possiblyThereSince);
    CHECK(*possiblyThereSince <= writtenAt);
}
