#include "auburndrum/decision/traffic/openattempts.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Begin{1000s};
constexpr auto MaxOverlap = 300ms;

std::ptrdiff_t countBegun(const std::vector<OpenAttempt> &attempts)
{
    return std::count_if(attempts.begin(), attempts.end(), [](const OpenAttempt &it) {
        return it.answeredAt.has_value();
    });
}

std::ptrdiff_t countOverdue(const std::vector<OpenAttempt> &attempts, Instant now)
{
    return std::count_if(attempts.begin(), attempts.end(), [now](const OpenAttempt &it) {
        return it.answeredAt && now >= *it.answeredAt + MaxOverlap;
    });
}

void apply(const OverlapDecision &decision, std::vector<OpenAttempt> &attempts)
{
    std::vector<std::size_t> ending = decision.ending;
    std::sort(ending.rbegin(), ending.rend());
    for (const std::size_t it : ending) {
        attempts.erase(attempts.begin() + static_cast<std::ptrdiff_t>(it));
    }
}

} // namespace

// Guards against a request that two servers run for long, since the older attempt waits for a whole event of the newer one (TWICE).
TEST_CASE("of two runs the one whose bytes came last goes on once both have overlapped for the allowed time")
{
    const std::vector<OpenAttempt> attempts = {{Begin, Begin + 100ms}, {Begin + 500ms, Begin + 510ms}};
    const OverlapDecision early = limitOverlap(attempts, MaxOverlap, Begin + 799ms);
    CHECK(early.ending.empty());
    CHECK(early.checkAt == Begin + 800ms);
    const OverlapDecision due = limitOverlap(attempts, MaxOverlap, Begin + 800ms);
    CHECK(due.ending == std::vector<std::size_t>{0});
    CHECK_FALSE(due.checkAt);
    const std::vector<OpenAttempt> olderGoesOn = {{Begin, Begin + 700ms}, {Begin + 500ms, Begin + 510ms}};
    CHECK(limitOverlap(olderGoesOn, MaxOverlap, Begin + 800ms).ending == std::vector<std::size_t>{1});
}

// Guards against a place in a server's queue that is given up for an attempt that may still fail.
TEST_CASE("an attempt without an answer stays open beside a run")
{
    const std::vector<OpenAttempt> attempts = {{Begin, Begin}, {std::nullopt, Begin + 100ms}};
    const OverlapDecision decision = limitOverlap(attempts, MaxOverlap, Begin + 10s);
    CHECK(decision.ending.empty());
    CHECK_FALSE(decision.checkAt);
}

// Guards against any order of answers and bytes in which two servers run a request for too long, or none goes on with it (TWICE, LOST).
TEST_CASE("in any order of events one run goes on and no two overlap for longer than allowed")
{
    const bool holds = rc::check([] {
        std::vector<OpenAttempt> attempts;
        Instant now = Begin;
        std::optional<Instant> checkAt;
        const int steps = *rc::gen::inRange(1, 30);
        for (int step = 0; step < steps; ++step) {
            const Instant next = now + std::chrono::milliseconds(*rc::gen::inRange(0, 400));
            while (checkAt && *checkAt <= next) {
                now = *checkAt;
                const OverlapDecision decision = limitOverlap(attempts, MaxOverlap, now);
                const auto begun = countBegun(attempts);
                for (const std::size_t it : decision.ending) {
                    RC_ASSERT(attempts[it].answeredAt.has_value());
                }
                apply(decision, attempts);
                RC_ASSERT(countBegun(attempts) >= std::min<std::ptrdiff_t>(begun, 1));
                RC_ASSERT(!decision.checkAt || *decision.checkAt > now);
                checkAt = decision.checkAt;
            }
            now = next;
            const bool isNew = attempts.empty() || (attempts.size() < 4 && *rc::gen::inRange(0, 3) == 0);
            if (isNew) {
                attempts.push_back({std::nullopt, now});
            } else {
                OpenAttempt &it = attempts[*rc::gen::inRange<std::size_t>(0, attempts.size())];
                it.answeredAt = it.answeredAt.value_or(now);
                it.lastBytesAt = now;
            }
            const OverlapDecision decision = limitOverlap(attempts, MaxOverlap, now);
            apply(decision, attempts);
            checkAt = decision.checkAt;
            RC_ASSERT(countOverdue(attempts, now) <= 1);
        }
    });
    CHECK(holds);
}
