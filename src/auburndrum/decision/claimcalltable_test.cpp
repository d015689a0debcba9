#include "auburndrum/decision/claimcalltable.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1h};
constexpr WallTime At{std::chrono::hours(500000)};

ClaimCallOptions options(const std::string &nonce)
{
    return {.claim = {{"orders", "lounas", "k1"}, "print", "vm1", nonce, At + 10s}, .deadline = T0 + 10s};
}

} // namespace

TEST_CASE("a decision of the log is forwarded to the call with the nonce of the claim")
{
    ClaimCallTable table;
    ClaimLedger ledger;
    table.add(options("a")).start(T0, nullptr, true);
    const ClaimDecision decision = ledger.apply(1, At, options("a").claim);
    const CallActions actions = table.onClaimDecided(T0, decision, ledger);
    REQUIRE(actions.actions.size() == 1);
    CHECK(std::holds_alternative<DispatchAction>(actions.actions[0]));
    CHECK(table.onClaimDecided(T0, ledger.apply(2, At, options("b").claim), ledger).actions.empty());
}

TEST_CASE("an abandoned call stays in the table until log time is past the deadline of its claim")
{
    ClaimCallTable table;
    table.add(options("a")).start(T0, nullptr, true);
    CHECK(table.nextTick() == T0 + 10s);
    CHECK(table.tick(T0 + 10s, At + 10s).size() == 1);
    CHECK(table.size() == 1);
    table.tick(T0 + 11s, At + 11s);
    CHECK(table.size() == 0);
}

TEST_CASE("a settled call is removed at the next tick")
{
    ClaimCallTable table;
    ClaimLedger ledger;
    table.add(options("a")).start(T0, nullptr, true);
    table.onClaimDecided(T0, ledger.apply(1, At, options("a").claim), ledger);
    table.find("a")->onAnswer(T0, {});
    table.onClaimSettled(T0, "a");
    table.tick(T0, At);
    CHECK(table.find("a") == nullptr);
}
