#include "auburndrum/decision/claimbatcher.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1h};

Claim claim(const std::string &key)
{
    return {{"orders", "lounas", key}, "print", "vm1", key, WallTime{}};
}

} // namespace

TEST_CASE("the first item after an idle interval is appended at once, the following ones in one batch")
{
    ClaimBatcher batcher;
    batcher.setBatcherCount(7);
    batcher.add(claim("a"));
    CHECK(batcher.takeDueRecords(T0).size() == 1);
    batcher.add(claim("b"));
    batcher.add(claim("c"));
    CHECK(batcher.takeDueRecords(T0 + 1ms).empty());
    const auto records = batcher.takeDueRecords(T0 + batcher.appendInterval());
    REQUIRE(records.size() == 1);
    CHECK(std::get<ClaimBatchRecord>(records[0]).claims.size() == 2);
    CHECK_FALSE(batcher.nextAppendTime().has_value());
}

TEST_CASE("the append interval is proportional to the number of batching processes")
{
    ClaimBatcher batcher;
    batcher.setBatcherCount(7);
    CHECK(batcher.appendInterval() == 25ms);
    batcher.setBatcherCount(28);
    CHECK(batcher.appendInterval() == 100ms);
}

TEST_CASE("claims, outcomes and releases share one append, with the claims last")
{
    ClaimBatcher batcher;
    batcher.add(claim("a"));
    batcher.add(Outcome{});
    batcher.add(Release{});
    const auto records = batcher.takeDueRecords(T0);
    REQUIRE(records.size() == 3);
    CHECK(std::holds_alternative<ClaimBatchRecord>(records[2]));
}

TEST_CASE("a batcher with a full queue refuses claims but accepts outcomes")
{
    ClaimBatcher batcher({.maxQueuedItems = 1});
    CHECK(batcher.add(claim("a")));
    CHECK_FALSE(batcher.add(claim("b")));
    CHECK(batcher.add(Outcome{}));
}

TEST_CASE("items beyond the batch limit are appended in the next interval")
{
    ClaimBatcher batcher({.maxBatchItems = 1});
    batcher.add(claim("a"));
    batcher.add(claim("b"));
    CHECK(batcher.takeDueRecords(T0).size() == 1);
    CHECK(batcher.queuedItems() == 1);
    CHECK(batcher.nextAppendTime() == T0 + batcher.appendInterval());
}

TEST_CASE("no append is due until the end of a pause that the log asked for")
{
    ClaimBatcher batcher;
    batcher.add(claim("a"));
    batcher.pauseUntil(T0 + 1s);
    CHECK(batcher.takeDueRecords(T0).empty());
    CHECK(batcher.takeDueRecords(T0 + 1s).size() == 1);
}
