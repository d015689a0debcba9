#include "auburndrum/decision/leaseholder.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1h};

LeaseHolder newHolder(const std::string &incarnation, Instant now = T0)
{
    auto newNonce = [incarnation, n = 0]() mutable {
        return incarnation + "/" + std::to_string(++n);
    };
    return {{.resource = "orders/menu", .incarnation = incarnation, .newNonce = newNonce}, now};
}

/// A log whose records are folded into a lease table at once.
struct Log
{
    LeaseTable table;
    Offset offset = 0;

    void append(const std::optional<LeaseRecord> &record)
    {
        REQUIRE(record.has_value());
        table.apply(++offset, *record);
    }

    const LeaseState *current() const
    {
        return table.find("orders/menu");
    }
};

} // namespace

TEST_CASE("the first holder sends no orders before the order timeout has passed")
{
    Log log;
    LeaseHolder holder = newHolder("a");
    log.append(holder.tick(T0));
    holder.onLeaseChanged(T0 + 10ms, log.current());
    CHECK_FALSE(holder.fencingNumber(T0 + 4s).has_value());
    CHECK(holder.fencingNumber(T0 + 5s) == 1);
}

TEST_CASE("a holder stops sending orders a safety margin before its lease ends, counted from before the append")
{
    Log log;
    LeaseHolder holder = newHolder("a");
    log.append(holder.tick(T0));
    holder.onLeaseChanged(T0 + 1s, log.current());
    CHECK(holder.fencingNumber(T0 + 11999ms).has_value());
    CHECK_FALSE(holder.fencingNumber(T0 + 12s).has_value());
}

TEST_CASE("a renewal raises the fencing number without a pause between orders")
{
    Log log;
    LeaseHolder holder = newHolder("a");
    log.append(holder.tick(T0));
    holder.onLeaseChanged(T0, log.current());
    CHECK_FALSE(holder.tick(T0 + 4s).has_value());
    log.append(holder.tick(T0 + 5s));
    holder.onLeaseChanged(T0 + 5s, log.current());
    CHECK(holder.fencingNumber(T0 + 5s) == 2);
}

TEST_CASE("a successor waits for the end of the old lease and for the order timeout")
{
    Log log;
    LeaseHolder old = newHolder("a");
    LeaseHolder successor = newHolder("b");
    log.append(old.tick(T0));
    successor.onLeaseChanged(T0 + 1s, log.current());
    CHECK_FALSE(successor.tick(T0 + 15s).has_value());
    log.append(successor.tick(T0 + 16s));
    successor.onLeaseChanged(T0 + 16s, log.current());
    CHECK_FALSE(successor.fencingNumber(T0 + 20s).has_value());
    CHECK(successor.fencingNumber(T0 + 21s) == 2);
}

TEST_CASE("of two processes that append for one lease at once only the first in the log gets it")
{
    Log log;
    LeaseHolder first = newHolder("a");
    LeaseHolder second = newHolder("b");
    const auto recordA = first.tick(T0);
    const auto recordB = second.tick(T0);
    log.append(recordB);
    log.append(recordA);
    first.onLeaseChanged(T0, log.current());
    second.onLeaseChanged(T0, log.current());
    CHECK_FALSE(first.fencingNumber(T0 + 6s).has_value());
    CHECK(second.fencingNumber(T0 + 6s) == 1);
}

TEST_CASE("a holder that was paused beyond its lease sends no orders and loses the lease to the successor")
{
    Log log;
    LeaseHolder old = newHolder("a");
    LeaseHolder successor = newHolder("b");
    log.append(old.tick(T0));
    old.onLeaseChanged(T0, log.current());
    successor.onLeaseChanged(T0, log.current());
    log.append(successor.tick(T0 + 15s));
    CHECK_FALSE(old.fencingNumber(T0 + 30s).has_value());
    log.append(old.tick(T0 + 30s));
    old.onLeaseChanged(T0 + 30s, log.current());
    CHECK(log.current()->lease.holder == "b");
    CHECK_FALSE(old.fencingNumber(T0 + 30s).has_value());
}

TEST_CASE("a lease record that is folded after its duration allows no orders, and a new one is appended")
{
    Log log;
    LeaseHolder holder = newHolder("a");
    const auto late = holder.tick(T0);
    log.append(late);
    holder.onLeaseChanged(T0 + 20s, log.current());
    CHECK_FALSE(holder.fencingNumber(T0 + 20s).has_value());
    CHECK(holder.tick(T0 + 20s).has_value());
}

TEST_CASE("a successor acquires a resigned lease at once, but waits for the order timeout before it sends orders")
{
    Log log;
    LeaseHolder old = newHolder("a");
    LeaseHolder successor = newHolder("b");
    log.append(old.tick(T0));
    old.onLeaseChanged(T0, log.current());
    log.append(old.resign());
    successor.onLeaseChanged(T0 + 1s, log.current());
    log.append(successor.tick(T0 + 1s));
    successor.onLeaseChanged(T0 + 1s, log.current());
    CHECK_FALSE(old.fencingNumber(T0 + 6s).has_value());
    CHECK_FALSE(successor.fencingNumber(T0 + 5s).has_value());
    CHECK(successor.fencingNumber(T0 + 6s) == 3);
}

TEST_CASE("a lease record above the maximum duration is ignored")
{
    LeaseTable table;
    CHECK_FALSE(table.apply(1, {"r", "a", "n", 0, MaxLeaseDuration + 1ms}));
}
