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

TEST_CASE("the first item after a quiet time goes out at once, the next ones together")
{
    ClaimBatcher batcher;
    batcher.setBatchers(7);
    batcher.add(claim("a"));
    CHECK(batcher.take(T0).size() == 1);
    batcher.add(claim("b"));
    batcher.add(claim("c"));
    CHECK(batcher.take(T0 + 1ms).empty());
    const auto records = batcher.take(T0 + batcher.interval());
    REQUIRE(records.size() == 1);
    CHECK(std::get<ClaimBatchRecord>(records[0]).claims.size() == 2);
    CHECK_FALSE(batcher.nextAppend().has_value());
}

TEST_CASE("the interval grows with the number of batchers")
{
    ClaimBatcher batcher;
    batcher.setBatchers(7);
    CHECK(batcher.interval() == 25ms);
    batcher.setBatchers(28);
    CHECK(batcher.interval() == 100ms);
}

TEST_CASE("claims, outcomes and releases share an append, claims last")
{
    ClaimBatcher batcher;
    batcher.add(claim("a"));
    batcher.add(Outcome{});
    batcher.add(Release{});
    const auto records = batcher.take(T0);
    REQUIRE(records.size() == 3);
    CHECK(std::holds_alternative<ClaimBatchRecord>(records[2]));
}

TEST_CASE("a full batcher refuses claims but no outcomes")
{
    ClaimBatcher batcher({.maxWaiting = 1});
    CHECK(batcher.add(claim("a")));
    CHECK_FALSE(batcher.add(claim("b")));
    CHECK(batcher.add(Outcome{}));
}

TEST_CASE("a batch is bounded and the rest follows in the next interval")
{
    ClaimBatcher batcher({.maxBatch = 1});
    batcher.add(claim("a"));
    batcher.add(claim("b"));
    CHECK(batcher.take(T0).size() == 1);
    CHECK(batcher.waiting() == 1);
    CHECK(batcher.nextAppend() == T0 + batcher.interval());
}

TEST_CASE("nothing is appended while the log asks for a pause")
{
    ClaimBatcher batcher;
    batcher.add(claim("a"));
    batcher.holdUntil(T0 + 1s);
    CHECK(batcher.take(T0).empty());
    CHECK(batcher.take(T0 + 1s).size() == 1);
}
