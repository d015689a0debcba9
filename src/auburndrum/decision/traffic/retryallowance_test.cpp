#include "auburndrum/decision/traffic/retryallowance.h"

#include <doctest/doctest.h>

#include <vector>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};
constexpr RetryAllowanceOptions Options{.ratio = 0.2, .window = 10s};

} // namespace

TEST_CASE("extra attempts are limited by the requests in the window")
{
    RetryAllowance it(Options);
    CHECK_FALSE(it.tryAcquire(Start));
    for (int n = 0; n < 10; ++n) {
        it.countRequest(Start);
    }
    CHECK(it.tryAcquire(Start));
    CHECK(it.tryAcquire(Start));
    CHECK_FALSE(it.tryAcquire(Start));
}

TEST_CASE("requests and extra attempts leave the window with time")
{
    RetryAllowance it(Options);
    for (int n = 0; n < 5; ++n) {
        it.countRequest(Start);
    }
    CHECK(it.tryAcquire(Start + 5s));
    CHECK(it.remaining(Start + 10s) == -1.0);
    CHECK(it.remaining(Start + 15s) == 0.0);
}

TEST_CASE("processes without coordination stay within the ratio of the whole fleet")
{
    // Guards against exceeding the fleet's ratio: a service fails every attempt, behind entry VMs whose share of its
    // requests differs a hundredfold.
    std::vector<RetryAllowance> fleet(7, RetryAllowance(Options));
    int requests = 0;
    int extra = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        const Instant now = Start + std::chrono::milliseconds(ms);
        for (std::size_t n = 0; n < fleet.size(); ++n) {
            const int every = n == 0 ? 1 : 100;
            if (ms % every != 0) {
                continue;
            }
            fleet[n].countRequest(now);
            ++requests;
            while (fleet[n].tryAcquire(now)) {
                ++extra;
            }
        }
    }
    CHECK(extra <= requests / 5);
    CHECK(extra >= requests / 5 - 7);
}
