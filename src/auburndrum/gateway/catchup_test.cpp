#include "auburndrum/gateway/keyedfeed.h"

#include "eventloop.h"
#include "fakestore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <list>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// What a VM reads that is behind, and what that costs the link that it shares with its callers.

namespace {

constexpr char Topic[] = "topic";
constexpr auto Bound = 2500ms; // from the acknowledgement of a change until each VM applies it
constexpr qsizetype VersionBytes = 28000; // of a configuration

/// A store behind a link on which all answers that are under way share the bandwidth.
class LinkedStore
{
public:
    explicit LinkedStore(FakeStore &fake, std::size_t bytesPerSecond)
        : m_bytesPerStep(bytesPerSecond * Step.count() / 1000)
    {
        QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
            carry();
        });
        m_timer.start(Step);
        hooks = fake.hooks();
        hooks.read = [this, read = hooks.read](const RecordQuery &query, auto done) {
            ++reads;
            read(query, [this, topic = query.topic, done](const StoreResult<RecordBatch> &result) {
                send(topic, result ? sizeOf(result.value().records) : 0, [done, result] {
                    done(result);
                });
            });
        };
        hooks.readNewest = [this, read = hooks.readNewest](const std::string &topic, const std::string &afterKey, auto done) {
            read(topic, afterKey, [this, topic, done](const StoreResult<NewestPage> &result) {
                send(topic, result ? sizeOf(result.value().records) : 0, [done, result] {
                    done(result);
                });
            });
        };
        hooks.lastBytesAt = [this](const std::string &topic) {
            const auto it = m_lastBytesAt.find(topic);
            return it == m_lastBytesAt.end() ? std::nullopt : std::optional(it->second);
        };
    }

    RecordStore hooks;
    int reads = 0;

private:
    static constexpr auto Step = 5ms;

    struct Answer
    {
        std::string topic;
        std::size_t bytesLeft = 0;
        std::function<void()> deliver;
    };

    static std::size_t sizeOf(const std::vector<StoreRecord> &records)
    {
        std::size_t bytes = 0;
        for (const StoreRecord &it : records) {
            bytes += it.value ? static_cast<std::size_t>(it.value->size()) : 0;
        }
        return bytes;
    }

    void send(const std::string &topic, std::size_t bytes, std::function<void()> deliver)
    {
        m_answers.push_back({topic, bytes, std::move(deliver)});
    }

    void carry()
    {
        const std::size_t share = m_bytesPerStep / std::max<std::size_t>(1, m_answers.size());
        for (auto it = m_answers.begin(); it != m_answers.end();) {
            m_lastBytesAt[it->topic] = suspendAwareNow();
            if (it->bytesLeft > share) {
                it->bytesLeft -= share;
                ++it;
                continue;
            }
            const auto deliver = std::move(it->deliver);
            it = m_answers.erase(it);
            deliver();
        }
    }

    std::size_t m_bytesPerStep;
    QTimer m_timer;
    std::list<Answer> m_answers;
    std::map<std::string, Instant> m_lastBytesAt;
};

/// A feed and what it reported; values that begin with '?' can't be used.
struct Follower
{
    explicit Follower(const RecordStore &hooks, double linkMegabits = 0)
        : store(hooks)
        , feed({.topic = Topic, .linkMegabits = linkMegabits},
               store,
               {.onChange =
                    [this](const std::string &key, const std::optional<QByteArray> &value, bool /*duringOutage*/) {
                        ++changes;
                        if (value && value->startsWith('?')) {
                            return false;
                        }
                        values[key] = value.value_or("");
                        return true;
                    },
                .onOverdue =
                    [this](int /*repeats*/, std::chrono::milliseconds /*waited*/, std::optional<std::chrono::milliseconds> /*sinceBytes*/) {
                        ++repeats;
                    }})
    {
        feed.start();
        REQUIRE(runUntil([this] {
            return feed.isSynced();
        }));
        runFor(200ms); // the next read waits at the store
    }

    bool receives(const std::string &key, const QByteArray &value, std::chrono::milliseconds within = Bound)
    {
        return runUntil(
            [&] {
                const auto it = values.find(key);
                return it != values.end() && it->second == value;
            },
            within);
    }

    RecordStore store;
    std::map<std::string, QByteArray> values;
    int changes = 0;
    int repeats = 0;
    KeyedFeed feed;
};

QByteArray version(int n)
{
    return QByteArray::number(n).rightJustified(VersionBytes, '0');
}

} // namespace

TEST_CASE("of records of one key that are read together, the newest alone is reported")
{
    // Guards against an event loop that is held by versions no request is served by: each of 40 that were read together was applied by itself (LOST).
    FakeStore fake;
    fake.put(Topic, "a", "0");
    Follower it(fake.hooks());
    const int before = it.changes;
    for (int n = 1; n <= 40; ++n) {
        fake.put(Topic, "a", QByteArray::number(n));
    }
    fake.put(Topic, "b", "1");
    CHECK(it.receives("a", "40"));
    CHECK(it.receives("b", "1"));
    CHECK(it.changes - before == 3); // the first record ends the read that waits for one
}

TEST_CASE("a VM on a small link has each change in force in time while versions follow each other faster than the link carries them")
{
    // Guards against a VM that reads every superseded version, falls behind for good and takes old routes and keys for those in force (CONFIG).
    FakeStore fake;
    fake.put(Topic, "a", version(0));
    LinkedStore link(fake, 200'000);
    Follower it(link.hooks, 10);
    int written = 0;
    std::map<QByteArray, Instant> writtenAt;
    Instant::duration longest{0};
    QTimer writer;
    QObject::connect(&writer, &QTimer::timeout, &writer, [&] {
        fake.put(Topic, "a", version(++written));
        writtenAt[version(written)] = monotonicNow();
    });
    writer.start(60ms);
    const Instant end = monotonicNow() + 7s;
    runUntil(
        [&] {
            const auto superseded = writtenAt.upper_bound(it.values["a"]);
            if (superseded != writtenAt.end()) {
                longest = std::max(longest, monotonicNow() - superseded->second);
            }
            return monotonicNow() >= end;
        },
        8s);
    writer.stop();
    CHECK(std::chrono::floor<std::chrono::milliseconds>(longest) < Bound);
    CHECK(it.receives("a", version(written)));
}

TEST_CASE("an answer of the store whose bytes still arrive is not asked for again")
{
    // Guards against reads of the same records that compete for a link: one answer was asked for up to 49 times (CONFIG, LOST).
    FakeStore fake;
    fake.put(Topic, "a", "0");
    LinkedStore link(fake, 200'000);
    Follower it(link.hooks);
    fake.put(Topic, "a", QByteArray(400'000, '1'));
    CHECK(it.receives("a", QByteArray(400'000, '1')));
    CHECK(it.repeats == 0);
}

TEST_CASE("an answer that goes silent after its first bytes is asked for again")
{
    // Guards against a feed that waits for an answer whose connection died on the way.
    FakeStore fake;
    fake.setCallTimeout(10s);
    fake.put(Topic, "a", "0");
    RecordStore hooks = fake.hooks();
    const Instant begin = suspendAwareNow();
    std::optional<Instant> lastBytesAt;
    hooks.lastBytesAt = [&](const std::string & /*topic*/) {
        return lastBytesAt;
    };
    Follower it(hooks);
    fake.loseReads(0);
    lastBytesAt = suspendAwareNow();
    fake.put(Topic, "a", "1");
    CHECK(it.receives("a", "1"));
    CHECK(it.repeats > 0);
    CHECK(suspendAwareNow() - begin < 2 * Bound);
}

// The cases below guard against a usable version that never comes into force, since an unusable one follows it and the records between two reads are skipped.

TEST_CASE("a usable record is reported though an unusable one of its key is read with it")
{
    FakeStore fake;
    fake.put(Topic, "a", "0");
    Follower it(fake.hooks());
    fake.put(Topic, "a", "1");
    fake.put(Topic, "a", "2");
    fake.put(Topic, "a", "?");
    CHECK(it.receives("a", "2"));
    CHECK(it.values["a"] == "2");
}

TEST_CASE("a usable record is reported though an unusable one of its key follows it in the records that are skipped")
{
    FakeStore fake;
    fake.put(Topic, "a", version(0));
    Follower it(fake.hooks(), 1);
    fake.put(Topic, "b", "1"); // is read at once; the rest within the interval between two reads
    REQUIRE(it.receives("b", "1"));
    for (int n = 1; n <= 10; ++n) {
        fake.put(Topic, "a", version(n));
    }
    fake.put(Topic, "a", "?");
    CHECK(it.receives("a", version(10)));
    fake.put(Topic, "a", version(11));
    CHECK(it.receives("a", version(11)));
}

TEST_CASE("a key that is removed among records that are skipped is reported as removed, and one that is added as added")
{
    FakeStore fake;
    fake.put(Topic, "a", version(0));
    fake.put(Topic, "removed", "1");
    Follower it(fake.hooks(), 1);
    fake.put(Topic, "b", "1");
    REQUIRE(it.receives("b", "1"));
    for (int n = 1; n <= 5; ++n) {
        fake.put(Topic, "a", version(n));
    }
    fake.put(Topic, "removed", std::nullopt);
    fake.put(Topic, "added", "1");
    for (int n = 6; n <= 10; ++n) {
        fake.put(Topic, "a", version(n));
    }
    CHECK(it.receives("a", version(10)));
    CHECK(it.receives("removed", ""));
    CHECK(it.receives("added", "1"));
}
