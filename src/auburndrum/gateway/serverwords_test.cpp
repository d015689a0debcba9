#include "gatewayfixture.h"

#include "eventloop.h"

#include <doctest/doctest.h>

#include <map>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto Interval = 20ms; // between requests

/// A gateway before two backend servers that say in their answers what they want.
class SpeakingServers
{
public:
    SpeakingServers()
        : gateway(
            [this](const std::shared_ptr<net::Exchange> &exchange, int) {
                const std::string server = exchange->header("Server").toStdString();
                ++arrivals[server];
                std::vector<net::Header> headers = {{"Id", exchange->header("Attempt")}, {"Seal", "s"}};
                if (leaving.contains(server)) {
                    headers.push_back({"Leaving", "1"});
                }
                if (const auto rest = rests.find(server); rest != rests.end()) {
                    exchange->respond(503, {{"Id", exchange->header("Attempt")}, {"Not-Run", "1"}, {"Retry-After", rest->second}}, {});
                    return;
                }
                exchange->respond(200, headers, "ok");
            },
            true,
            [](GatewayFixture &, GatewayOptions &options) {
                options.retries = {.ratio = 2, .window = 10s};
                options.drainTime = 1500ms;
            })
    {
    }

    std::map<int, int> sendFor(std::chrono::milliseconds time)
    {
        std::map<int, int> counts;
        for (const Instant end = monotonicNow() + time; monotonicNow() < end; runFor(Interval)) {
            const auto result = gateway.sendRequest("/once/");
            ++counts[result.head.status];
            retryAfter = result.head.header("Retry-After").toDouble();
        }
        return counts;
    }

    std::map<std::string, int> arrivals; ///< by server
    std::set<std::string> leaving;
    std::map<std::string, QByteArray> rests; ///< seconds that a server asks for, by server
    double retryAfter = 0;
    GatewayFixture gateway;
};

} // namespace

TEST_CASE("a server that says in its answers that it leaves gets no more requests, whatever the list says")
{
    // Guards against requests to a leaving server later than its drain time, since only the list was read (DRAIN).
    SpeakingServers it;
    it.leaving = {"a"};
    it.sendFor(500ms);
    it.arrivals.clear();
    const auto counts = it.sendFor(1s);
    CHECK(it.arrivals["a"] == 0);
    CHECK(counts.size() == 1);
    CHECK(counts.contains(200));
}

TEST_CASE("when all servers leave they serve until their drain time is over, and nothing reaches them after it")
{
    // Guards against an outage that begins earlier than it must, and against requests after the drain time for want of another server (DRAIN).
    SpeakingServers it;
    it.leaving = {"a", "b"};
    const auto first = it.sendFor(600ms);
    CHECK(first.size() == 1);
    CHECK(first.contains(200));
    it.sendFor(900ms);
    it.arrivals.clear();
    const auto later = it.sendFor(500ms);
    CHECK(it.arrivals.empty());
    CHECK(later.size() == 1);
    CHECK(later.contains(503));
}

TEST_CASE("a server that turns a request away with a time to return gets nothing until then, and the other serves all")
{
    // Guards against a VM that takes a server's word for a pause of its own length (BUDGET).
    SpeakingServers it;
    it.rests["a"] = "1.5";
    it.sendFor(200ms);
    const int before = it.arrivals["a"];
    CHECK(before >= 1);
    const auto counts = it.sendFor(1s);
    CHECK(it.arrivals["a"] == before);
    CHECK(counts.size() == 1);
    CHECK(counts.contains(200));
    it.rests.clear();
    it.sendFor(1s);
    CHECK(it.arrivals["a"] > before);
}

TEST_CASE("when all servers want a rest, callers are refused at once with the soonest of their times")
{
    // Guards against callers who come back too early, and against servers that are asked meanwhile (BUDGET).
    SpeakingServers it;
    it.rests = {{"a", "6"}, {"b", "3"}};
    it.sendFor(100ms);
    it.arrivals.clear();
    const auto begin = monotonicNow();
    const auto result = it.gateway.sendRequest("/once/");
    CHECK(monotonicNow() - begin < 200ms);
    CHECK(result.head.status == 503);
    const double retryAfter = result.head.header("Retry-After").toDouble();
    CHECK(retryAfter > 2);
    CHECK(retryAfter <= 3);
    CHECK(it.arrivals.empty());
}
