#include "auburndrum/gateway/keyedfeed.h"

#include "eventloop.h"
#include "fakestore.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr char Topic[] = "topic";

/// A feed and what it reported.
class Follower
{
public:
    explicit Follower(FakeStore &fake)
        : store(fake.hooks())
        , feed({.topic = Topic,
                .budget = {.refreshInterval = 50ms, .answerTime = 60ms},
                .readInterval = 10ms,
                .minRetryDelay = 5ms,
                .maxRetryDelay = 20ms,
                .outageThreshold = 100ms,
                .postOutageWindow = 500ms},
               store,
               {.onChange =
                    [this](const std::string &key, const std::optional<QByteArray> &value, bool duringOutage) {
                        ++changes;
                        wasDuringOutage = duringOutage;
                        if (value) {
                            values[key] = *value;
                        } else {
                            values.erase(key);
                        }
                        return true;
                    },
                .onStoreLost =
                    [this](StoreError) {
                        ++outages;
                    },
                .onStoreRegained =
                    [this] {
                        ++recoveries;
                    }})
    {
        feed.start();
    }

    bool receives(const std::string &key, const QByteArray &value)
    {
        return runUntil([&] {
            const auto it = values.find(key);
            return it != values.end() && it->second == value;
        });
    }

    RecordStore store;
    std::map<std::string, QByteArray> values;
    int changes = 0;
    int outages = 0;
    int recoveries = 0;
    bool wasDuringOutage = false;
    KeyedFeed feed;
};

} // namespace

TEST_CASE("existing values and later changes are reported once each")
{
    FakeStore fake;
    fake.put(Topic, "a", "1");
    Follower it(fake);
    CHECK(it.receives("a", "1"));
    CHECK(it.feed.isSynced());
    fake.put(Topic, "b", "2");
    CHECK(it.receives("b", "2"));
    fake.put(Topic, "a", std::nullopt);
    CHECK(runUntil([&] {
        return !it.values.contains("a");
    }));
    runFor(100ms);
    CHECK(it.changes == 3);
}

TEST_CASE("after the history is dropped, keys removed meanwhile are reported as removed")
{
    // Guards against keeping a removed server when the store drops its history while the server leaves.
    FakeStore fake;
    fake.put(Topic, "a", "1");
    fake.put(Topic, "b", "1");
    Follower it(fake);
    REQUIRE(it.receives("b", "1"));
    fake.setError(StoreError::Unreachable);
    runFor(60ms);
    fake.put(Topic, "a", std::nullopt);
    fake.put(Topic, "c", "1");
    fake.forgetHistory(Topic);
    fake.setError(std::nullopt);
    CHECK(it.receives("c", "1"));
    CHECK(runUntil([&] {
        return !it.values.contains("a");
    }));
    CHECK(it.values.contains("b"));
    fake.put(Topic, "a", "2");
    CHECK(it.receives("a", "2"));
}

TEST_CASE("an outage is reported once, changes just after it are marked, and later changes are not")
{
    FakeStore fake;
    fake.put(Topic, "a", "1");
    Follower it(fake);
    REQUIRE(it.receives("a", "1"));
    fake.setError(StoreError::TimedOut);
    CHECK(runUntil([&] {
        return it.outages == 1;
    }));
    runFor(100ms);
    CHECK(it.outages == 1);
    fake.put(Topic, "a", "2");
    fake.setError(std::nullopt);
    CHECK(it.receives("a", "2"));
    CHECK(it.recoveries == 1);
    CHECK(it.wasDuringOutage);
    runFor(600ms);
    fake.put(Topic, "a", "3");
    CHECK(it.receives("a", "3"));
    CHECK_FALSE(it.wasDuringOutage);
}

TEST_CASE("records that arrive in quick succession are read together")
{
    // Guards against a store call per change: a roll-out changes the entries of 90 engines one after another, read by 87 entry VMs.
    FakeStore fake;
    Follower it(fake);
    fake.put(Topic, "a", "0");
    REQUIRE(it.receives("a", "0"));
    const int before = fake.calls();
    const Instant begin = monotonicNow();
    for (int n = 1; n <= 100; ++n) {
        fake.put(Topic, "a", QByteArray::number(n));
        runFor(2ms);
    }
    REQUIRE(it.receives("a", "100"));
    const auto intervals = (monotonicNow() - begin) / 10ms;
    CHECK(fake.calls() - before <= intervals + 2);
}

TEST_CASE("a record read late is not treated as a new one")
{
    // Guards against late use of outdated weights: weights are named while an entry VM is paused for 3 s, and it used the old ones until 10 s after
    // its own read.
    FakeStore fake;
    fake.put(Topic, "a", "1");
    Follower it(fake);
    REQUIRE(it.receives("a", "1"));
    fake.setError(StoreError::Unreachable);
    runFor(60ms);
    const Instant before = suspendAwareNow();
    fake.put(Topic, "a", "2");
    runFor(200ms);
    fake.setError(std::nullopt);
    REQUIRE(it.receives("a", "2"));
    REQUIRE(it.feed.previousReadAt());
    CHECK(*it.feed.previousReadAt() <= before);
}
