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
