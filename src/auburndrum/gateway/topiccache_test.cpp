#include "auburndrum/gateway/topiccache.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};
const std::string Topic = "topic";

RecordBatch batch(std::uint64_t from, std::uint64_t to, qsizetype valueBytes = 10)
{
    RecordBatch it;
    for (std::uint64_t n = from; n < to; ++n) {
        it.records.push_back({n, "key-" + std::to_string(n), QByteArray(valueBytes, 'x')});
    }
    it.nextOffset = to;
    return it;
}

} // namespace

TEST_CASE("records are returned from the requested offset on, with the age of the store's response")
{
    TopicCache relay({});
    relay.addBatch(Topic, 5, batch(5, 8), Start);
    relay.addBatch(Topic, 8, batch(8, 8), Start + 1s);
    const auto some = relay.readFrom(Topic, 6, Start + 1300ms);
    REQUIRE(some);
    CHECK(some->records.size() == 2);
    CHECK(some->records.front().offset == 6);
    CHECK(some->nextOffset == 8);
    CHECK(some->age == 300ms);
    CHECK(relay.readFrom(Topic, 8, Start + 1s)->records.empty());
}

TEST_CASE("records that were not read by this VM are not returned")
{
    TopicCache relay({});
    CHECK_FALSE(relay.readFrom(Topic, 0, Start));
    relay.addBatch(Topic, 5, batch(5, 8), Start);
    CHECK_FALSE(relay.readFrom(Topic, 4, Start));
    CHECK_FALSE(relay.readFrom("another", 5, Start));
}

TEST_CASE("a reader that is ahead keeps its offset")
{
    TopicCache relay({});
    relay.addBatch(Topic, 5, batch(5, 8), Start);
    const auto ahead = relay.readFrom(Topic, 20, Start);
    REQUIRE(ahead);
    CHECK(ahead->records.empty());
    CHECK(ahead->nextOffset == 20);
}

TEST_CASE("a read after skipped offsets restarts the cache, and a gap clears it")
{
    TopicCache relay({});
    relay.addBatch(Topic, 0, batch(0, 3), Start);
    relay.addBatch(Topic, 10, batch(10, 12), Start);
    CHECK_FALSE(relay.readFrom(Topic, 2, Start));
    CHECK(relay.readFrom(Topic, 10, Start)->records.size() == 2);
    RecordBatch gap;
    gap.hasGap = true;
    relay.addBatch(Topic, 12, gap, Start);
    CHECK_FALSE(relay.readFrom(Topic, 12, Start));
}

TEST_CASE("an overlapping read adds no record twice")
{
    TopicCache relay({});
    relay.addBatch(Topic, 0, batch(0, 3), Start);
    relay.addBatch(Topic, 1, batch(1, 5), Start);
    CHECK(relay.readFrom(Topic, 0, Start)->records.size() == 5);
}

TEST_CASE("memory is bounded, and a large response is left to the store")
{
    TopicCache relay({.maxRecords = 100, .maxBytes = 1000, .maxAnswerBytes = 200});
    relay.addBatch(Topic, 0, batch(0, 150), Start);
    CHECK_FALSE(relay.readFrom(Topic, 50, Start));
    CHECK_FALSE(relay.readFrom(Topic, 120, Start));
    CHECK(relay.readFrom(Topic, 140, Start)->records.size() == 10);
}

TEST_CASE("a new era of the store restarts the cache, and a response of an earlier one changes nothing")
{
    // Guards against readers that get records which the store has lost, at offsets that it gave out again.
    TopicCache relay({});
    RecordBatch before = batch(0, 5);
    before.era = 1;
    relay.addBatch(Topic, 0, before, Start);
    RecordBatch after = batch(3, 4);
    after.era = 2;
    relay.addBatch(Topic, 3, after, Start);
    relay.addBatch(Topic, 5, before, Start);
    CHECK_FALSE(relay.readFrom(Topic, 0, Start));
    const auto now = relay.readFrom(Topic, 3, Start);
    REQUIRE(now);
    CHECK(now->era == 2);
    CHECK(now->records.size() == 1);
    CHECK(now->nextOffset == 4);
}

namespace {

/// The digest of a value is its first letter; values that begin with '?' can't be read.
TopicCache digesting()
{
    TopicCacheOptions options;
    options.digestOf = [](const std::string & /*topic*/, const StoreRecord &record) {
        return record.value->startsWith('?') ? std::nullopt : std::optional<std::uint64_t>(record.value->at(0));
    };
    return TopicCache(options);
}

void add(TopicCache &cache, std::uint64_t offset, const std::string &key, const std::optional<QByteArray> &value, Instant now)
{
    cache.addBatch(Topic, offset, {.records = {{offset, key, value}}, .nextOffset = offset + 1}, now);
}

std::vector<std::uint64_t> offsetsFrom(const TopicCache &cache, std::uint64_t from, Instant now)
{
    std::vector<std::uint64_t> list;
    for (const StoreRecord &it : cache.readFrom(Topic, from, now).value_or(RecordBatch()).records) {
        list.push_back(it.offset);
    }
    return list;
}

using Offsets = std::vector<std::uint64_t>;

/// The offsets of the records that a reader gets which has read all before the record that is added.
Offsets offsetsAfter(TopicCache &cache, std::uint64_t offset, const std::string &key, const std::optional<QByteArray> &value, Instant now)
{
    add(cache, offset, key, value, now);
    return offsetsFrom(cache, offset, now);
}

} // namespace

TEST_CASE("heartbeats are not passed on, changes and removals are")
{
    // Guards against work of each VM for each heartbeat of each server: 170 records a second at 295 VMs.
    TopicCache cache = digesting();
    CHECK(offsetsAfter(cache, 0, "a", "r1", Start) == Offsets{0});
    CHECK(offsetsAfter(cache, 1, "a", "r2", Start + 1s).empty());
    CHECK(offsetsAfter(cache, 2, "b", "r2", Start + 1s) == Offsets{2});
    CHECK(offsetsAfter(cache, 3, "a", "d3", Start + 2s) == Offsets{3});
    CHECK(offsetsAfter(cache, 4, "a", "d4", Start + 3s).empty());
    CHECK(offsetsAfter(cache, 5, "a", std::nullopt, Start + 4s) == Offsets{5});
    CHECK(offsetsAfter(cache, 6, "a", "d5", Start + 4s) == Offsets{6});
    CHECK(offsetsFrom(cache, 0, Start + 4s) == Offsets{2, 6});
    CHECK(cache.readFrom(Topic, 0, Start + 4s)->nextOffset == 7);
}

TEST_CASE("records that can't be read are passed on, and so is the one after them")
{
    TopicCache cache = digesting();
    CHECK(offsetsAfter(cache, 0, "a", "r", Start) == Offsets{0});
    CHECK(offsetsAfter(cache, 1, "a", "?", Start) == Offsets{1});
    CHECK(offsetsAfter(cache, 2, "a", "?", Start) == Offsets{2});
    CHECK(offsetsAfter(cache, 3, "a", "r", Start) == Offsets{3});
}

TEST_CASE("heartbeats are passed on now and then, and while entries may have lapsed without a record")
{
    // Guards against a server that a VM dropped in an outage and never hears of again, since the relay knew it before.
    TopicCache cache = digesting();
    CHECK(offsetsAfter(cache, 0, "a", "r", Start) == Offsets{0});
    CHECK(offsetsAfter(cache, 1, "a", "r", Start + 9s).empty());
    CHECK(offsetsAfter(cache, 2, "a", "r", Start + 10s) == Offsets{2});
    CHECK(offsetsAfter(cache, 3, "a", "r", Start + 11s).empty());
    cache.recordFailure(Topic, Start + 12s);
    CHECK(offsetsAfter(cache, 4, "a", "r", Start + 13s) == Offsets{4});
    CHECK(offsetsAfter(cache, 5, "a", "r", Start + 16s) == Offsets{5});
    CHECK(offsetsAfter(cache, 6, "a", "r", Start + 17s).empty());
    RecordBatch later{.records = {{0, "a", "r"}}, .nextOffset = 1, .era = 2};
    cache.addBatch(Topic, 0, later, Start + 18s);
    CHECK(offsetsFrom(cache, 0, Start + 18s) == Offsets{0});
    later.records.front().offset = 1;
    later.nextOffset = 2;
    cache.addBatch(Topic, 1, later, Start + 19s);
    CHECK(offsetsFrom(cache, 1, Start + 19s) == Offsets{1});
}

TEST_CASE("of each key the newest record alone is returned")
{
    // Guards against readers of a relay that get more superseded versions than one response holds, and so all read the store itself (CONFIG).
    TopicCache cache({.maxAnswerBytes = 150});
    for (std::uint64_t n = 0; n < 10; ++n) {
        add(cache, 2 * n, "config", QByteArray(100, 'x'), Start);
        add(cache, 2 * n + 1, "weights", QByteArray(10, 'x'), Start);
    }
    CHECK(offsetsFrom(cache, 0, Start) == Offsets{18, 19});
    CHECK(offsetsFrom(cache, 19, Start) == Offsets{19});
    CHECK(cache.readFrom(Topic, 0, Start)->isCompacted);
}

TEST_CASE("all records of a topic without keys are returned")
{
    // Guards against a VM that misses the lease of another one, since its relay passes on the last announcement alone (ONE).
    TopicCache cache({.maxBytes = 100});
    for (std::uint64_t n = 0; n < 5; ++n) {
        add(cache, n, {}, "lease", Start);
    }
    CHECK(offsetsFrom(cache, 0, Start) == Offsets{0, 1, 2, 3, 4});
    for (std::uint64_t n = 5; n < 30; ++n) {
        add(cache, n, {}, "lease", Start);
    }
    CHECK_FALSE(cache.readFrom(Topic, 9, Start));
    CHECK(offsetsFrom(cache, 10, Start).size() == 20);
}

TEST_CASE("a response that left records out doesn't count as the topic's state at its time")
{
    // Guards against a VM that takes its routes and keys for those in force, since its relay has read a part of what the store holds (DENIED).
    TopicCache cache({});
    add(cache, 0, "a", "1", Start);
    RecordBatch part = {.records = {{1, "a", "2"}}, .nextOffset = 2, .endOffset = 5};
    cache.addBatch(Topic, 1, part, Start + 3s);
    CHECK(cache.readFrom(Topic, 0, Start + 3s)->age == 3s);
}

TEST_CASE("a snapshot in place of the records between two reads goes on for readers that have read the ones before, removals too")
{
    // Guards against readers that all read the store itself whenever their relay skips superseded records (CONFIG).
    TopicCache cache({});
    cache.addSnapshot(Topic, 10, 1, {{3, "a", "1"}, {4, "b", "1"}, {9, "c", "1"}}, Start);
    RecordBatch batch{.records = {{10, "d", "1"}}, .nextOffset = 11, .era = 1};
    cache.addBatch(Topic, 10, batch, Start + 1s);
    // One record was written between two pages of the snapshot, and is read again from its end.
    cache.addSnapshot(Topic, 20, 1, {{3, "a", "1"}, {15, "c", "2"}, {12, "e", "1"}, {21, "f", "1"}}, Start + 2s);
    const auto read = cache.readFrom(Topic, 10, Start + 2s);
    REQUIRE(read);
    std::map<std::string, std::optional<QByteArray>> values;
    for (const StoreRecord &it : read->records) {
        values[it.key] = it.value;
    }
    const std::map<std::string, std::optional<QByteArray>> expected = {{"b", std::nullopt}, {"c", "2"}, {"d", std::nullopt}, {"e", "1"}};
    CHECK(values == expected);
    CHECK(read->nextOffset == 20);
    CHECK(read->age == 1s); // the record that "f" may have had before is missing until the next read
    CHECK_FALSE(cache.readFrom(Topic, 9, Start + 2s));
    cache.addSnapshot(Topic, 22, 1, {{3, "a", "1"}, {15, "c", "2"}, {12, "e", "1"}, {21, "f", "1"}}, Start + 3s);
    CHECK(cache.readFrom(Topic, 20, Start + 3s)->age == 0s);
    CHECK(offsetsFrom(cache, 20, Start + 3s) == Offsets{21});
}

TEST_CASE("a snapshot of a new era, or one without an earlier one, restarts the cache")
{
    TopicCache cache({});
    add(cache, 0, "a", "1", Start);
    cache.addSnapshot(Topic, 5, 0, {{4, "a", "2"}}, Start);
    CHECK_FALSE(cache.readFrom(Topic, 0, Start));
    cache.addSnapshot(Topic, 4, 1, {{3, "a", "1"}}, Start);
    CHECK_FALSE(cache.readFrom(Topic, 3, Start));
    CHECK(cache.readFrom(Topic, 4, Start)->era == 1);
    cache.addSnapshot(Topic, 9, 0, {{8, "a", "3"}}, Start);
    CHECK(cache.readFrom(Topic, 4, Start)->nextOffset == 4);
}
