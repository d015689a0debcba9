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

TEST_CASE("the first claim of a key holds it")
{
    ClaimLedger ledger;
    CHECK(ledger.apply(1, At, claim("a")).verdict == ClaimVerdict::Won);
    CHECK(ledger.apply(2, At, claim("b")).verdict == ClaimVerdict::Lost);
    CHECK(ledger.find(OrderKey)->nonce == "a");
}

TEST_CASE("the same key of another organisation is independent")
{
    ClaimLedger ledger;
    ledger.apply(1, At, claim("a"));
    CHECK(ledger.apply(2, At, claim("b", {"orders", "kattila", "k1"})).verdict == ClaimVerdict::Won);
}

TEST_CASE("a released key may be claimed again, by a release of its holder only")
{
    ClaimLedger ledger;
    ledger.apply(1, At, claim("a"));
    CHECK_FALSE(ledger.apply(Release{OrderKey, "b"}));
    CHECK(ledger.apply(Release{OrderKey, "a"}));
    CHECK(ledger.apply(2, At, claim("b")).verdict == ClaimVerdict::Won);
    CHECK_FALSE(ledger.apply(Release{OrderKey, "a"}));
}

TEST_CASE("the first outcome of the holder stays, and ends the time of releases")
{
    ClaimLedger ledger;
    ledger.apply(1, At, claim("a"));
    CHECK_FALSE(ledger.apply(outcome("b", "wrong")));
    CHECK(ledger.apply(outcome("a", "soup")));
    CHECK_FALSE(ledger.apply(outcome("a", "stew")));
    CHECK_FALSE(ledger.apply(Release{OrderKey, "a"}));
    CHECK(ledger.find(OrderKey)->outcome->body == "soup");
}

TEST_CASE("a claim that the log takes after its deadline holds nothing")
{
    ClaimLedger ledger;
    CHECK(ledger.apply(1, At + 2min, claim("a")).verdict == ClaimVerdict::TooLate);
    CHECK(ledger.find(OrderKey) == nullptr);
}

TEST_CASE("a claim is forgotten at the end of the window in log time")
{
    ClaimLedger ledger({.deduplicationWindow = 1h});
    ledger.apply(1, At, claim("a"));
    ledger.expire(At + 1h - 1ms);
    CHECK(ledger.size() == 1);
    ledger.expire(At + 1h);
    CHECK(ledger.size() == 0);
}

TEST_CASE("the end of a released claim's window does not touch the key's next holder")
{
    ClaimLedger ledger({.deduplicationWindow = 1h});
    ledger.apply(1, At, claim("a"));
    ledger.apply(Release{OrderKey, "a"});
    ledger.apply(2, At + 1min, claim("b"));
    ledger.expire(At + 1h);
    CHECK(ledger.find(OrderKey)->nonce == "b");
}

TEST_CASE("open claims past their deadline are in doubt")
{
    ClaimLedger ledger;
    ledger.apply(1, At, claim("a"));
    CHECK(ledger.inDoubtKeys(At + 1min).empty());
    CHECK(ledger.inDoubtKeys(At + 2min) == std::vector{OrderKey});
    ledger.apply(outcome("a", "soup"));
    CHECK(ledger.inDoubtKeys(At + 2min).empty());
}
