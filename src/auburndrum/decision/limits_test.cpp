#include "auburndrum/decision/admission.h"
#include "auburndrum/decision/circuitbreaker.h"
#include "auburndrum/decision/concurrencylimit.h"
#include "auburndrum/decision/retrybudget.h"

#include <absl/random/random.h>
#include <doctest/doctest.h>

#include <random>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};

} // namespace

TEST_CASE("a request predicted to exceed its deadline is refused, with the excess as Retry-After")
{
    CHECK_FALSE(checkAdmission({1s, 2s, 3s}).has_value());
    CHECK(checkAdmission({4s, 2s, 3s}) == 3s);
    CHECK(checkAdmission({3001ms, 0ms, 3s}) == 1s);
    CHECK(checkAdmission({1h, 0ms, 3s}) == 30s);
    CHECK(retryAfterSeconds(1001ms) == 2s);
}

TEST_CASE("retries never exceed the budget, however many are requested")
{
    std::mt19937_64 random(7);
    RetryBudgetOptions options;
    RetryBudget budget(options);
    Instant now = Start;
    double first = 0;
    double retries = 0;
    for (int n = 0; n < 100'000; ++n) {
        now += std::chrono::milliseconds(random() % 3);
        if (random() % 4 == 0) {
            budget.recordFirstAttempt();
            ++first;
        }
        retries += budget.tryAcquire(now) ? 1 : 0;
        const double seconds = std::chrono::duration<double>(now - Start).count();
        REQUIRE(retries <= 1 + options.retriesPerFirstAttempt * first + options.extraRetriesPerSecond * seconds + 1e-6);
    }
    CHECK(retries > 0);
}

TEST_CASE("unused retries accumulate up to the bound only")
{
    RetryBudget budget;
    CHECK(budget.tryAcquire(Start));
    int granted = 0;
    while (budget.tryAcquire(Start + 1h)) {
        ++granted;
    }
    CHECK(granted == 20);
}

TEST_CASE("the breaker opens after consecutive failures and allows one probe after the pause")
{
    absl::BitGen random;
    CircuitBreaker breaker;
    breaker.recordFailure(Start, random);
    breaker.recordSuccess();
    breaker.recordFailure(Start, random);
    breaker.recordFailure(Start, random);
    CHECK(breaker.allowsRequest(Start));
    breaker.recordFailure(Start, random);
    CHECK_FALSE(breaker.allowsRequest(Start + 900ms));
    const Instant later = Start + 1300ms;
    REQUIRE(breaker.allowsRequest(later));
    breaker.onSent(later);
    CHECK_FALSE(breaker.allowsRequest(later));
    breaker.recordSuccess();
    CHECK(breaker.state() == CircuitBreaker::State::Closed);
}

TEST_CASE("a failed probe doubles the pause")
{
    absl::BitGen random;
    CircuitBreaker breaker;
    for (int n = 0; n < 3; ++n) {
        breaker.recordFailure(Start, random);
    }
    const Instant later = Start + 1300ms;
    breaker.onSent(later);
    breaker.recordFailure(later, random);
    CHECK_FALSE(breaker.allowsRequest(later + 1900ms));
    CHECK(breaker.allowsRequest(later + 2600ms));
}

TEST_CASE("a response to a request sent before the pause does not close the breaker")
{
    absl::BitGen random;
    CircuitBreaker breaker;
    for (int n = 0; n < 3; ++n) {
        breaker.recordFailure(Start, random);
    }
    breaker.recordSuccess();
    CHECK_FALSE(breaker.allowsRequest(Start + 1ms));
}

TEST_CASE("late first tokens decrease the concurrency limit and timely ones increase it again")
{
    ConcurrencyLimit limit;
    Instant now = Start;
    for (int n = 0; n < 100; ++n) {
        now += 1s;
        limit.onSent();
        limit.onFirstToken(3s, 1s, now);
    }
    CHECK(limit.limit() == 1);
    CHECK(limit.hasCapacity());
    for (int round = 0; round < 50; ++round) {
        while (limit.hasCapacity()) {
            limit.onSent();
        }
        while (limit.inFlight() > 0) {
            limit.onFirstToken(1s, 1s, now);
        }
    }
    CHECK(limit.limit() > 10);
}

TEST_CASE("a burst of refusals decreases the limit once")
{
    ConcurrencyLimit limit;
    for (int n = 0; n < 10; ++n) {
        limit.onSent();
    }
    for (int n = 0; n < 10; ++n) {
        limit.onOverloaded(Start);
    }
    CHECK(limit.limit() == 14);
}
