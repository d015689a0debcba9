#include "standins/engine/scheduler.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::standins;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1h};

struct Fixture
{
    explicit Fixture(const SchedulerOptions &options)
        : cache(100'000, 2000)
        , scheduler(options, cache, hooks())
    {
    }

    SchedulerHooks hooks()
    {
        return {[this](const std::string &, std::uint64_t cached) {
                    cachedTokens = cached;
                },
                [this](const std::string &attempt, std::uint32_t index, bool last) {
                    tokens.push_back(attempt + std::to_string(index) + (last ? "." : ""));
                }};
    }

    PrefixCache cache;
    std::uint64_t cachedTokens = 0;
    std::vector<std::string> tokens;
    Scheduler scheduler;
};

RunRequest requestOf(const std::string &attempt, std::uint8_t priority = 5)
{
    RunRequest out;
    out.attempt = attempt;
    out.organisation = "kattila";
    out.pieceKeys = {"p1", "p2"};
    out.promptTokens = 4100;
    out.maxTokens = 2;
    out.priority = priority;
    return out;
}

} // namespace

TEST_CASE("the first token waits for the prefill, the next for the decode step")
{
    Fixture fixture({.prefillTokensPerSecond = 1000, .decodeStep = 10ms});
    REQUIRE(fixture.scheduler.submit(requestOf("a"), Start));
    fixture.scheduler.advance(Start);
    fixture.scheduler.advance(Start + 4099ms);
    CHECK(fixture.tokens.empty());
    fixture.scheduler.advance(Start + 4100ms);
    CHECK(fixture.tokens == std::vector<std::string>{"a0"});
    fixture.scheduler.advance(Start + 4110ms);
    CHECK(fixture.tokens == std::vector<std::string>{"a0", "a1."});
    CHECK(fixture.scheduler.load().running == 0);
}

TEST_CASE("a returning prompt costs only its uncached tokens")
{
    Fixture fixture({.prefillTokensPerSecond = 1000});
    fixture.cache.store("kattila", {"p1", "p2"});
    REQUIRE(fixture.scheduler.submit(requestOf("a"), Start));
    fixture.scheduler.advance(Start);
    CHECK(fixture.cachedTokens == 4000);
    fixture.scheduler.advance(Start + 100ms);
    CHECK(fixture.tokens.size() == 1);
}

TEST_CASE("a higher priority goes before an older request")
{
    Fixture fixture({.prefillTokensPerSecond = 1e9, .decodeStep = 1ms, .maxRunning = 1});
    REQUIRE(fixture.scheduler.submit(requestOf("a", 9), Start));
    REQUIRE(fixture.scheduler.submit(requestOf("b", 0), Start));
    for (auto at = 0ms; at < 20ms; at += 1ms) {
        fixture.scheduler.advance(Start + at);
    }
    CHECK(fixture.tokens == std::vector<std::string>{"b0", "b1.", "a0", "a1."});
}

TEST_CASE("a full queue and a leaving engine take nothing")
{
    Fixture fixture({.maxQueued = 1});
    REQUIRE(fixture.scheduler.submit(requestOf("a"), Start));
    CHECK(fixture.scheduler.submit(requestOf("b"), Start).error() == SubmitError::Overloaded);
    fixture.scheduler.setLeaving(true);
    CHECK(fixture.scheduler.submit(requestOf("c"), Start).error() == SubmitError::Leaving);
}

TEST_CASE("a cancelled run gives no further token")
{
    Fixture fixture({.prefillTokensPerSecond = 1e9, .decodeStep = 1ms});
    REQUIRE(fixture.scheduler.submit(requestOf("a"), Start));
    fixture.scheduler.advance(Start + 1ms);
    CHECK(fixture.tokens.size() == 1);
    fixture.scheduler.cancel("a");
    fixture.scheduler.advance(Start + 1s);
    CHECK(fixture.tokens.size() == 1);
    CHECK_FALSE(fixture.scheduler.nextWake());
}
