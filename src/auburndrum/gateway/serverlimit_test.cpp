#include "gatewayfixture.h"

#include "eventloop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr double Limit = 1.1; // requests a second
constexpr auto Window = 4s;
constexpr double AllowedShare = 1.5; // of what the limit allows in a window
constexpr double AllowedExtra = 5; // requests beyond that share
constexpr auto Interval = 20ms; // between requests

/// A gateway before two backend servers, which name the limits that the test sets.
class LimitedServers
{
public:
    LimitedServers()
        : gateway([this](const std::shared_ptr<net::Exchange> &exchange, int) {
            const bool isFirst = exchange->header("Server") == "a";
            arrivals[isFirst ? 0 : 1].push_back(monotonicNow());
            std::vector<net::Header> headers = {{"Id", "request-1"}, {"Seal", "s"}};
            if (const auto limit = limits[isFirst ? 0 : 1]) {
                headers.push_back({"Limit", QByteArray::number(*limit)});
            }
            exchange->respond(status, headers, "ok");
        })
    {
    }

    /// Sends requests on this route one after the other for a time; returns how many had each status.
    std::map<int, int> sendFor(std::chrono::milliseconds time, const QByteArray &target)
    {
        std::map<int, int> counts;
        for (const Instant end = monotonicNow() + time; monotonicNow() < end; runFor(Interval)) {
            const auto result = gateway.sendRequest(target);
            ++counts[result.head.status];
            if (result.head.status == 503) {
                retryAfter = result.head.header("Retry-After").toDouble();
            }
        }
        return counts;
    }

    /// Most requests that a server got in some window after `begin`.
    double mostInWindow(std::size_t server, Instant begin) const
    {
        const auto &times = arrivals[server];
        std::ptrdiff_t most = 0;
        for (auto it = times.begin(); it != times.end(); ++it) {
            if (*it >= begin) {
                most = std::max(most, std::upper_bound(it, times.end(), *it + Window) - it);
            }
        }
        return static_cast<double>(most);
    }

    std::array<std::optional<double>, 2> limits;
    std::array<std::vector<Instant>, 2> arrivals;
    int status = 200;
    double retryAfter = 0;
    GatewayFixture gateway;
};

constexpr double Allowed = AllowedShare * Limit * 4 + AllowedExtra;

} // namespace

TEST_CASE("a server that names a limit gets no more than that, and the rest is served elsewhere at once")
{
    // Guards against requests to a server in need far beyond the limit that it names (LIMIT).
    LimitedServers it;
    it.limits[0] = Limit;
    it.sendFor(500ms, "/safe/");
    const Instant told = monotonicNow();
    const auto counts = it.sendFor(5s, "/safe/");
    CHECK(it.mostInWindow(0, told) <= Allowed);
    CHECK(counts.size() == 1);
    CHECK(counts.contains(200));
}

TEST_CASE("answers other than successes name a limit too, and repeats count in it")
{
    // Guards against repeats of failed requests that pass a limit (LIMIT).
    LimitedServers it;
    it.limits = {Limit, Limit};
    it.status = 500;
    it.sendFor(500ms, "/safe/");
    const Instant told = monotonicNow();
    it.sendFor(5s, "/safe/");
    CHECK(it.mostInWindow(0, told) <= Allowed);
    CHECK(it.mostInWindow(1, told) <= Allowed);
}

TEST_CASE("when all servers are limited, what they take is used and the rest is refused with the time of the next free place")
{
    // Guards against a fleet in need that is overrun, or left idle (LIMIT).
    LimitedServers it;
    it.limits = {Limit, Limit};
    it.sendFor(500ms, "/once/");
    const Instant told = monotonicNow();
    auto counts = it.sendFor(6s, "/once/");
    CHECK(it.mostInWindow(0, told) <= Allowed);
    CHECK(it.mostInWindow(1, told) <= Allowed);
    CHECK(counts[200] >= 0.7 * 2 * Limit * 6);
    CHECK(counts[503] > 0);
    CHECK(it.retryAfter > 0);
}

TEST_CASE("a limit that a server no longer names is over")
{
    // Guards against a server that gets nothing any more although its need is over (LIMIT).
    LimitedServers it;
    it.limits = {Limit, Limit};
    it.sendFor(2s, "/once/");
    it.limits = {};
    CHECK(runUntil(
        [&] {
            return it.sendFor(100ms, "/once/").contains(503) == false;
        },
        5s));
}

TEST_CASE("a caller that was refused for limits and returns at the time it was told is served")
{
    // Guards against a Retry-After that is a guess: a caller that comes too early is refused again, one that comes late leaves a place unused (LIMIT).
    LimitedServers it;
    it.limits = {0.3, 0.3};
    it.sendFor(500ms, "/once/");
    for (int n = 0; n < 3; ++n) {
        while (it.gateway.sendRequest("/once/").head.status == 200) { }
        const auto refused = it.gateway.sendRequest("/once/");
        REQUIRE(refused.head.status == 503);
        const double seconds = refused.head.header("Retry-After").toDouble();
        // The request before may have been promised an earlier place, which is free then, too.
        const Instant told = monotonicNow() + std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
        runFor(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000) + 20));
        const auto lateMs = std::chrono::floor<std::chrono::milliseconds>(monotonicNow() - told).count();
        const int status = it.gateway.sendRequest("/once/").head.status;
        CAPTURE(seconds);
        CAPTURE(lateMs);
        CAPTURE(it.gateway.lastLine("request").dump());
        CHECK(status == 200);
        runFor(2500ms); // a permit that wasn't used lapses
    }
}
