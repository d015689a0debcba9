#include "auburndrum/decision/claimledger.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr WallTime At{std::chrono::hours(500000)};
const ClaimKey OrderKey{"orders", "lounas", "k1"};

Claim claim(const std::string &nonce, ClaimKey key = OrderKey)
{
    return {std::move(key), "print", "vm1", nonce, At + 1min};
}

Outcome outcome(const std::string &nonce, const std::string &body)
{
    return {OrderKey, nonce, 200, "text/plain", body, "", OutcomeSource::Answer};
}

} // namespace

TEST_CASE("the first claim of a key wins and the second one loses")
{
    ClaimLedger ledger;
    CHECK(ledger.apply(1, At, claim("a")).verdict == ClaimVerdict::Won);
    CHECK(ledger.apply(2, At, claim("b")).verdict == ClaimVerdict::Lost);
    CHECK(ledger.find(OrderKey)->nonce == "a");
}

TEST_CASE("claims of equal keys of two organisations are independent")
{
    ClaimLedger ledger;
    ledger.apply(1, At, claim("a"));
    CHECK(ledger.apply(2, At, claim("b", {"orders", "kattila", "k1"})).verdict == ClaimVerdict::Won);
}

TEST_CASE("a key can be claimed again after a release by its holder, and only by its holder")
{
    ClaimLedger ledger;
    ledger.apply(1, At, claim("a"));
    CHECK_FALSE(ledger.apply(Release{OrderKey, "b"}));
    CHECK(ledger.apply(Release{OrderKey, "a"}));
    CHECK(ledger.apply(2, At, claim("b")).verdict == ClaimVerdict::Won);
    CHECK_FALSE(ledger.apply(Release{OrderKey, "a"}));
}

TEST_CASE("only the holder's first outcome is recorded, and the claim can't be released after it")
{
    ClaimLedger ledger;
    ledger.apply(1, At, claim("a"));
    CHECK_FALSE(ledger.apply(outcome("b", "wrong")));
    CHECK(ledger.apply(outcome("a", "soup")));
    CHECK_FALSE(ledger.apply(outcome("a", "stew")));
    CHECK_FALSE(ledger.apply(Release{OrderKey, "a"}));
    CHECK(ledger.find(OrderKey)->outcome->body == "soup");
}

TEST_CASE("a claim that is appended after its deadline does not hold the key")
{
    ClaimLedger ledger;
    CHECK(ledger.apply(1, At + 2min, claim("a")).verdict == ClaimVerdict::TooLate);
    CHECK(ledger.find(OrderKey) == nullptr);
}

TEST_CASE("a claim is removed at the end of the deduplication window in log time")
{
    ClaimLedger ledger({.deduplicationWindow = 1h});
    ledger.apply(1, At, claim("a"));
    ledger.expire(At + 1h - 1ms);
    CHECK(ledger.size() == 1);
    ledger.expire(At + 1h);
    CHECK(ledger.size() == 0);
}

TEST_CASE("the expiry of a released claim does not remove the next claim of the key")
{
    ClaimLedger ledger({.deduplicationWindow = 1h});
    ledger.apply(1, At, claim("a"));
    ledger.apply(Release{OrderKey, "a"});
    ledger.apply(2, At + 1min, claim("b"));
    ledger.expire(At + 1h);
    CHECK(ledger.find(OrderKey)->nonce == "b");
}

TEST_CASE("claims without an outcome are in doubt after their deadline")
{
    ClaimLedger ledger;
    ledger.apply(1, At, claim("a"));
    CHECK(ledger.inDoubtKeys(At + 1min).empty());
    CHECK(ledger.inDoubtKeys(At + 2min) == std::vector{OrderKey});
    ledger.apply(outcome("a", "soup"));
    CHECK(ledger.inDoubtKeys(At + 2min).empty());
}
