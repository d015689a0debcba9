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

TEST_CASE("a first token predicted past its deadline is refused, with the excess as Retry-After")
{
    CHECK_FALSE(refuse({1s, 2s, 3s}).has_value());
    CHECK(refuse({4s, 2s, 3s}) == 3s);
    CHECK(refuse({3001ms, 0ms, 3s}) == 1s);
    CHECK(refuse({1h, 0ms, 3s}) == 30s);
    CHECK(retryAfterHeader(1001ms) == 2s);
}

TEST_CASE("retries never exceed the budget, whatever is asked for")
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
            budget.firstAttempt();
            ++first;
        }
        retries += budget.tryRetry(now) ? 1 : 0;
        const double seconds = std::chrono::duration<double>(now - Start).count();
        REQUIRE(retries <= 1 + options.ratio * first + options.perSecond * seconds + 1e-6);
    }
    CHECK(retries > 0);
}

TEST_CASE("a quiet hour saves up no more than the bound")
{
    RetryBudget budget;
    CHECK(budget.tryRetry(Start));
    int granted = 0;
    while (budget.tryRetry(Start + 1h)) {
        ++granted;
    }
    CHECK(granted == 20);
}

TEST_CASE("the breaker opens after failures in a row and lets one probe through after a pause")
{
    absl::BitGen random;
    CircuitBreaker breaker;
    breaker.failed(Start, random);
    breaker.succeeded();
    breaker.failed(Start, random);
    breaker.failed(Start, random);
    CHECK(breaker.mayTry(Start));
    breaker.failed(Start, random);
    CHECK_FALSE(breaker.mayTry(Start + 900ms));
    const Instant later = Start + 1300ms;
    REQUIRE(breaker.mayTry(later));
    breaker.began(later);
    CHECK_FALSE(breaker.mayTry(later));
    breaker.succeeded();
    CHECK(breaker.state() == CircuitBreaker::State::Closed);
}

TEST_CASE("a failed probe doubles the pause")
{
    absl::BitGen random;
    CircuitBreaker breaker;
    for (int n = 0; n < 3; ++n) {
        breaker.failed(Start, random);
    }
    const Instant later = Start + 1300ms;
    breaker.began(later);
    breaker.failed(later, random);
    CHECK_FALSE(breaker.mayTry(later + 1900ms));
    CHECK(breaker.mayTry(later + 2600ms));
}

TEST_CASE("an answer from before the pause does not close the breaker")
{
    absl::BitGen random;
    CircuitBreaker breaker;
    for (int n = 0; n < 3; ++n) {
        breaker.failed(Start, random);
    }
    breaker.succeeded();
    CHECK_FALSE(breaker.mayTry(Start + 1ms));
}

TEST_CASE("the concurrency limit shrinks with late answers and grows back with timely ones")
{
    ConcurrencyLimit limit;
    Instant now = Start;
    for (int n = 0; n < 100; ++n) {
        now += 1s;
        limit.started();
        limit.finished(3s, 1s, now);
    }
    CHECK(limit.limit() == 1);
    CHECK(limit.mayStart());
    for (int round = 0; round < 50; ++round) {
        while (limit.mayStart()) {
            limit.started();
        }
        while (limit.inFlight() > 0) {
            limit.finished(1s, 1s, now);
        }
    }
    CHECK(limit.limit() > 10);
}

TEST_CASE("one burst of refusals shrinks the limit once")
{
    ConcurrencyLimit limit;
    for (int n = 0; n < 10; ++n) {
        limit.started();
    }
    for (int n = 0; n < 10; ++n) {
        limit.dropped(Start);
    }
    CHECK(limit.limit() == 14);
}
