#include "auburndrum/operator/claimresolution.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::operators;
using namespace std::chrono_literals;

namespace {

const decision::ClaimKey Key{"ordering", "kattila", "k1"};
const WallTime Deadline{1000ms};

/// Returns a ledger with one claim that has no outcome.
decision::ClaimLedger openClaim()
{
    decision::ClaimLedger ledger;
    ledger.apply(1, WallTime{500ms}, decision::Claim{Key, "f", "i", "n1", Deadline});
    return ledger;
}

} // namespace

TEST_CASE("a claim past its deadline is in doubt until an operator resolves it")
{
    auto ledger = openClaim();
    REQUIRE(inDoubtClaims(ledger, Deadline + 1ms).size() == 1);
    CHECK(inDoubtClaims(ledger, Deadline + 1ms)[0].nonce == "n1");
    const auto record = resolutionRecord(ledger, {.key = Key, .ran = true, .status = 201}, Deadline + 1ms);
    REQUIRE(record.has_value());
    const auto &outcome = std::get<decision::OutcomeBatchRecord>(*record).outcomes.at(0);
    CHECK(outcome.source == decision::OutcomeSource::Operator);
    CHECK(ledger.apply(outcome));
    CHECK(inDoubtClaims(ledger, Deadline + 1ms).empty());
    CHECK_FALSE(resolutionRecord(ledger, {.key = Key, .ran = false}, Deadline + 1ms).has_value());
}

TEST_CASE("resolving a claim as not run releases its key")
{
    auto ledger = openClaim();
    const auto record = resolutionRecord(ledger, {.key = Key, .ran = false}, Deadline + 1ms);
    REQUIRE(record.has_value());
    CHECK(ledger.apply(std::get<decision::ReleaseRecord>(*record).releases.at(0)));
    CHECK(ledger.find(Key) == nullptr);
}

TEST_CASE("a claim can't be resolved before its deadline or when it doesn't exist")
{
    const auto ledger = openClaim();
    CHECK_FALSE(resolutionRecord(ledger, {.key = Key, .ran = false}, Deadline).has_value());
    CHECK_FALSE(resolutionRecord(ledger, {.key = {"ordering", "poyta", "k1"}, .ran = false}, Deadline + 1ms).has_value());
}
