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
        it.records.push_back({n, "key", QByteArray(valueBytes, 'x')});
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

} // namespace

TEST_CASE("heartbeats are not passed on, changes and removals are")
{
    // Guards against work of each VM for each heartbeat of each server: 170 records a second at 295 VMs.
    TopicCache cache = digesting();
    add(cache, 0, "a", "r1", Start);
    add(cache, 1, "a", "r2", Start + 1s);
    add(cache, 2, "b", "r2", Start + 1s);
    add(cache, 3, "a", "d3", Start + 2s);
    add(cache, 4, "a", "d4", Start + 3s);
    add(cache, 5, "a", std::nullopt, Start + 4s);
    add(cache, 6, "a", "d5", Start + 4s);
    CHECK(offsetsFrom(cache, 0, Start + 4s) == Offsets{0, 2, 3, 5, 6});
    CHECK(offsetsFrom(cache, 4, Start + 4s) == Offsets{5, 6});
    CHECK(cache.readFrom(Topic, 0, Start + 4s)->nextOffset == 7);
}

TEST_CASE("records that can't be read are passed on, and so is the one after them")
{
    TopicCache cache = digesting();
    add(cache, 0, "a", "r", Start);
    add(cache, 1, "a", "?", Start);
    add(cache, 2, "a", "?", Start);
    add(cache, 3, "a", "r", Start);
    CHECK(offsetsFrom(cache, 0, Start) == Offsets{0, 1, 2, 3});
}

TEST_CASE("heartbeats are passed on now and then, and while entries may have lapsed without a record")
{
    // Guards against a server that a VM dropped in an outage and never hears of again, since the relay knew it before.
    TopicCache cache = digesting();
    add(cache, 0, "a", "r", Start);
    add(cache, 1, "a", "r", Start + 9s);
    add(cache, 2, "a", "r", Start + 10s);
    add(cache, 3, "a", "r", Start + 11s);
    CHECK(offsetsFrom(cache, 0, Start + 11s) == Offsets{0, 2});
    cache.recordFailure(Topic, Start + 12s);
    add(cache, 4, "a", "r", Start + 13s);
    add(cache, 5, "a", "r", Start + 16s);
    add(cache, 6, "a", "r", Start + 17s);
    CHECK(offsetsFrom(cache, 3, Start + 17s) == Offsets{4, 5});
    RecordBatch later{.records = {{0, "a", "r"}}, .nextOffset = 1, .era = 2};
    cache.addBatch(Topic, 0, later, Start + 18s);
    later.records.front().offset = 1;
    later.nextOffset = 2;
    cache.addBatch(Topic, 1, later, Start + 19s);
    CHECK(offsetsFrom(cache, 0, Start + 19s) == Offsets{0, 1});
}
