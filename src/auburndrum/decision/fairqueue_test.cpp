#include "auburndrum/decision/fairqueue.h"

#include <doctest/doctest.h>

#include <map>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};
constexpr Instant Never{100h};

WaitingRequest request(std::uint64_t id, std::string organisation, double cost = 1000, Instant deadline = Never)
{
    return {id, std::move(organisation), cost, deadline};
}

std::map<std::string, int> popped(FairQueue &queue, int n)
{
    std::map<std::string, int> counts;
    for (int it = 0; it < n; ++it) {
        const auto next = queue.pop(Start);
        if (!next) {
            break;
        }
        ++counts[next->organisation];
        queue.onFinished(next->organisation);
    }
    return counts;
}

} // namespace

TEST_CASE("organisations with a backlog are served in proportion to their shares")
{
    FairQueue queue;
    queue.setGrant("large", {3.0, 0, 5});
    queue.setGrant("small", {1.0, 0, 5});
    for (std::uint64_t n = 0; n < 400; ++n) {
        queue.push(request(n, n % 2 == 0 ? "large" : "small"), Start);
    }
    const auto counts = popped(queue, 200);
    CHECK(counts.at("large") >= 148);
    CHECK(counts.at("large") <= 152);
}

TEST_CASE("a small organisation's request overtakes a large one's backlog")
{
    FairQueue queue;
    for (std::uint64_t n = 0; n < 500; ++n) {
        queue.push(request(n, "large"), Start);
    }
    popped(queue, 100);
    queue.push(request(1000, "small"), Start);
    CHECK(popped(queue, 2).contains("small"));
}

TEST_CASE("requests with a higher cost use more of the share")
{
    FairQueue queue;
    for (std::uint64_t n = 0; n < 400; ++n) {
        queue.push(request(n, n % 2 == 0 ? "long" : "short", n % 2 == 0 ? 3000 : 1000), Start);
    }
    const auto counts = popped(queue, 100);
    CHECK(counts.at("short") >= 73);
    CHECK(counts.at("short") <= 77);
}

TEST_CASE("a higher priority is served first within its share and does not reduce other shares")
{
    FairQueue queue;
    queue.setGrant("urgent", {1.0, 0, 0});
    queue.setGrant("plain", {1.0, 0, 9});
    queue.push(request(1, "plain"), Start);
    queue.push(request(2, "urgent"), Start);
    CHECK(queue.pop(Start)->organisation == "urgent");
    CHECK(queue.pop(Start)->organisation == "plain");
    for (std::uint64_t n = 0; n < 200; ++n) {
        queue.push(request(n, n % 2 == 0 ? "urgent" : "plain"), Start);
    }
    const auto counts = popped(queue, 100);
    CHECK(counts.at("plain") >= 48);
}

TEST_CASE("an organisation at its concurrency limit waits without delaying others")
{
    FairQueue queue;
    queue.setGrant("kattila", {1.0, 1, 0});
    queue.push(request(1, "kattila"), Start);
    queue.push(request(2, "kattila"), Start);
    queue.push(request(3, "poyta"), Start);
    CHECK(queue.pop(Start)->id == 1);
    CHECK(queue.pop(Start)->id == 3);
    CHECK_FALSE(queue.pop(Start).has_value());
    queue.onFinished("kattila");
    CHECK(queue.pop(Start)->id == 2);
}

TEST_CASE("a request put back is next again and is not charged to its organisation")
{
    FairQueue queue;
    queue.push(request(1, "kattila"), Start);
    queue.push(request(2, "poyta"), Start);
    queue.push(request(3, "kattila"), Start);
    for (int n = 0; n < 50; ++n) {
        queue.putBack(*queue.pop(Start));
    }
    CHECK(queue.size() == 3);
    CHECK(popped(queue, 2).size() == 2);
}

TEST_CASE("putting requests back does not reduce the share of lower priorities")
{
    FairQueue queue;
    queue.setGrant("urgent", {1.0, 0, 0});
    queue.setGrant("plain", {1.0, 0, 9});
    for (std::uint64_t n = 0; n < 200; ++n) {
        queue.push(request(n, n % 2 == 0 ? "urgent" : "plain"), Start);
    }
    for (int n = 0; n < 1000; ++n) {
        queue.putBack(*queue.pop(Start));
    }
    CHECK(popped(queue, 40)["plain"] >= 19);
}

TEST_CASE("a burst of an organisation that used less than its share is served first")
{
    FairQueue queue;
    Instant now = Start;
    for (std::uint64_t n = 0; n < 500; ++n) {
        queue.push(request(n, "large"), now);
    }
    for (int n = 0; n < 100; ++n) {
        now += 100ms;
        queue.pop(now);
        queue.onFinished("large");
    }
    for (std::uint64_t n = 1000; n < 1005; ++n) {
        CHECK(queue.push(request(n, "small", 1000, now + 1s), now).queued);
    }
    CHECK(popped(queue, 6)["small"] == 5);
}

TEST_CASE("a full queue displaces the organisation furthest above its share")
{
    FairQueueOptions options;
    options.maxWaiting = 100;
    FairQueue queue(options);
    for (std::uint64_t n = 0; n < 100; ++n) {
        CHECK(queue.push(request(n, "large"), Start).queued);
    }
    CHECK_FALSE(queue.push(request(100, "large"), Start).queued);
    const PushResult result = queue.push(request(200, "small"), Start);
    CHECK(result.queued);
    REQUIRE(result.displacedId.has_value());
    CHECK(*result.displacedId == 99);
    CHECK(queue.size() == 100);
}

TEST_CASE("an organisation within its share is not refused because of another")
{
    // The service serves 10 requests per second. "small" sends 4 of its share of 5 per second, "large" sends 50.
    FairQueueOptions options;
    options.maxWaiting = 50;
    FairQueue queue(options);
    Instant now = Start;
    std::uint64_t id = 0;
    int refusedLarge = 0;
    for (int tick = 0; tick < 10 * 60 * 10; ++tick) {
        now += 10ms;
        if (tick % 2 == 0) {
            refusedLarge += queue.push(request(++id, "large", 1000, now + 2s), now).queued ? 0 : 1;
        }
        if (tick % 25 == 0) {
            const PushResult result = queue.push(request(++id, "small", 1000, now + 2s), now);
            REQUIRE(result.queued);
        }
        for (const WaitingRequest &it : queue.removeExpired(now)) {
            REQUIRE(it.organisation != "small");
        }
        if (tick % 10 == 0) {
            const auto next = queue.pop(now);
            queue.onFinished(next ? next->organisation : "large");
        }
    }
    CHECK(refusedLarge > 1000);
}

TEST_CASE("a request whose predicted wait exceeds its deadline is refused with Retry-After from the queue")
{
    FairQueue queue;
    Instant now = Start;
    for (std::uint64_t n = 0; n < 100; ++n) {
        queue.push(request(n, "kattila"), now);
    }
    for (int n = 0; n < 20; ++n) {
        now += 100ms;
        queue.pop(now);
        queue.onFinished("kattila");
    }
    const PushResult result = queue.push(request(1000, "kattila", 1000, now + 2s), now);
    CHECK_FALSE(result.queued);
    CHECK(result.retryAfter > 4s);
    CHECK(result.retryAfter < 8s);
}

TEST_CASE("cancelled and expired requests are not run")
{
    FairQueue queue;
    queue.push(request(1, "kattila"), Start);
    queue.push(request(2, "kattila", 1000, Start + 1s), Start);
    queue.push(request(3, "kattila"), Start);
    CHECK(queue.cancel("kattila", 1));
    CHECK_FALSE(queue.cancel("kattila", 1));
    CHECK(queue.removeExpired(Start + 2s).size() == 1);
    CHECK(queue.pop(Start)->id == 3);
    CHECK(queue.size() == 0);
}
