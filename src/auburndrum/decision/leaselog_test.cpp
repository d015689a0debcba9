#include "auburndrum/decision/knownera.h"
#include "leaselogfixture.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

// Guards against two processes that hold one lease at once, each by records that the other never read (ONE).

TEST_CASE("the newest lease record is in force for a process that has read no other")
{
    LeaseLog log(optionsOf("a"), Begin);
    REQUIRE(log.acceptEra(Begin, FirstEra));
    CHECK(log.onGap(Begin, 7));
    REQUIRE(log.acceptRecord(Begin, 7));
    CHECK_FALSE(log.onLease(Begin, 8, {"orders", "b", "b/1", 3, 300ms}));
    log.onEndRead();
    CHECK(log.leaseInForce()->lease.holder == "b");
    CHECK_FALSE(log.tick(Begin + 599ms));
    CHECK(log.tick(Begin + 620ms));
}

TEST_CASE("a process that is given a record without the ones before it writes nothing until what they allowed has ended")
{
    // Guards against a relay that passes on only a part of the topic.
    LeaseLog log(optionsOf("a"), Begin);
    log.acceptEra(Begin, FirstEra);
    log.onEndRead();
    const Instant recoveredAt = Begin + 600ms;
    REQUIRE(log.isCurrent(recoveredAt));
    CHECK(log.acceptRecord(recoveredAt, 3));
    log.onEndRead();
    CHECK_FALSE(log.isCurrent(recoveredAt + 599ms));
    CHECK(log.isCurrent(recoveredAt + 600ms));
}

TEST_CASE("a process whose lease another one replaced gives it up at once")
{
    LeaseLog log(optionsOf("a"), Begin);
    log.acceptEra(Begin, FirstEra);
    log.onEndRead();
    const Instant recoveredAt = Begin + 600ms;
    const auto lease = log.tick(recoveredAt + 20ms);
    REQUIRE(lease);
    log.acceptRecord(recoveredAt + 21ms, 0);
    CHECK_FALSE(log.onLease(recoveredAt + 21ms, 1, *lease));
    REQUIRE(log.fencingNumber(recoveredAt + 22ms) == 1);
    log.acceptRecord(recoveredAt + 30ms, 1);
    CHECK(log.onLease(recoveredAt + 30ms, 2, {"orders", "b", "b/1", 77, 300ms}));
    CHECK_FALSE(log.fencingNumber(recoveredAt + 30ms));
}

TEST_CASE("a lease that another process gives up doesn't end the one before it")
{
    // Guards against a successor beside a holder: the record of a process that had lost the lease ended the winner's.
    LeaseLog log(optionsOf("a"), Begin);
    log.acceptEra(Begin, FirstEra);
    const Instant recoveredAt = Begin + 600ms;
    log.acceptRecord(recoveredAt, 0);
    log.onLease(recoveredAt, 1, {"orders", "b", "b/1", 0, 300ms});
    log.acceptRecord(recoveredAt, 1);
    log.onLease(recoveredAt, 2, {"orders", "c", "c/1", 0, 300ms});
    log.acceptRecord(recoveredAt, 2);
    log.onLease(recoveredAt, 3, {"orders", "c", "c/2", 2, 0ms});
    log.onEndRead();
    CHECK_FALSE(log.tick(recoveredAt + 300ms));
    CHECK(log.tick(recoveredAt + 320ms));
}

TEST_CASE("a process writes nothing until what the log lost before its first response has ended, whatever the era's number")
{
    // Guards against a process that takes the second era for the first, or counts the wait from its start though it reached the log later.
    for (const std::uint64_t era : {0U, 1U, 2U, 3U, 9U}) {
        CAPTURE(era);
        LeaseLog log(optionsOf("a"), Begin);
        const Instant respondedAt = Begin + 10s;
        REQUIRE(log.acceptEra(respondedAt, era));
        log.onEndRead();
        CHECK_FALSE(log.tick(respondedAt + 599ms));
        CHECK(log.tick(respondedAt + 620ms));
    }
}

TEST_CASE("records of a response without an era are read anew when the log's era is known")
{
    // They may be from before the log returned from an older copy.
    LeaseLog log(optionsOf("a"), Begin);
    REQUIRE(log.acceptEra(Begin, 0));
    REQUIRE(log.acceptRecord(Begin, 0));
    log.onEndRead();
    const Instant later = Begin + 1s;
    REQUIRE(log.isCurrent(later));
    CHECK_FALSE(log.acceptEra(later, 1));
    CHECK(log.nextOffset() == 0);
    log.onEndRead();
    CHECK_FALSE(log.isCurrent(later + 599ms));
}

TEST_CASE("a process that has known the log's era for long enough, or reads a lease of it whose writer has waited, needn't wait")
{
    LeaseLog knowing(optionsOf("a"), Begin);
    REQUIRE(knowing.acceptEra(Begin + 600ms, 3, Begin));
    knowing.onEndRead();
    CHECK(knowing.tick(Begin + 620ms));

    LeaseLog withoutEra(optionsOf("a"), Begin);
    REQUIRE(withoutEra.acceptEra(Begin, 0));
    withoutEra.onEraSettled(0);
    withoutEra.onEndRead();
    CHECK(withoutEra.isCurrent(Begin + 1ms));

    LeaseLog reading(optionsOf("a"), Begin);
    REQUIRE(reading.acceptEra(Begin, 3));
    reading.onEraSettled(2);
    reading.onEndRead();
    CHECK_FALSE(reading.isCurrent(Begin + 1ms));
    reading.onEraSettled(3);
    CHECK(reading.isCurrent(Begin + 1ms));
}

TEST_CASE("a lease whose writer has waited in the era tells nothing of records that were dropped since")
{
    LeaseLog log(optionsOf("a"), Begin);
    REQUIRE(log.acceptEra(Begin, 3));
    CHECK(log.onGap(Begin, 7));
    log.onEraSettled(3);
    log.onEndRead();
    CHECK_FALSE(log.isCurrent(Begin + 599ms));
    CHECK(log.isCurrent(Begin + 600ms));
}

TEST_CASE("an era is known from the first response that names it, and none is an era too")
{
    // Guards against a wait at each first roll-out on a store that names no era (VERSION).
    KnownEra it;
    CHECK_FALSE(it.since(0));
    it.onResponse(Begin, 0);
    it.onResponse(Begin + 1s, 0);
    CHECK(it.since(0) == Begin);
    it.onResponse(Begin + 2s, 3);
    it.onResponse(Begin + 3s, 0);
    CHECK_FALSE(it.since(0));
    CHECK(it.since(3) == Begin + 2s);
}
