#include "eventloop.h"
#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

void respond(const std::shared_ptr<net::Exchange> &exchange, int /*call*/)
{
    exchange->startStream(200, {{"Id", "request-1"}, {"Seal", "s"}});
    exchange->writeChunk("id: 1\ndata: a\n\n");
    exchange->finishStream();
}

} // namespace

TEST_CASE("after an outage in which reads were lost, a new configuration is in force within a second")
{
    // Guards against an outdated configuration: a read that was sent into an outage as a long poll kept its reader waiting for 4 s after it.
    GatewayFixture it(respond);
    it.store.setLosesReads(true);
    REQUIRE(runUntil([&] {
        return it.hasLogged("dependency_lost", 2);
    }));
    runFor(100ms); // the lost reads are repeated
    it.store.put("operator", "configuration", "2");
    it.store.setLosesReads(false);
    CHECK(runUntil(
        [&] {
            return it.hasLogged("configuration", 2);
        },
        1s));
}

TEST_CASE("weights that were named in a gap of the topic count from the last answer before the gap")
{
    // Guards against late use of outdated weights: the store dropped its history while weights were named, and they counted from the next snapshot.
    GatewayFixture it(respond);
    it.extraHeaders = {{"Model", "m"}};
    it.store.put("servers", "a", it.serverAddresses[0] + " 1");
    it.store.put("servers", "b", it.serverAddresses[1] + " 1");
    it.store.put("operator", "configuration", "2");
    REQUIRE(runUntil([&] {
        return it.hasLogged("configuration", 2) && it.hasLogged("backend_server", 4);
    }));
    const Instant beforeAnswer = suspendAwareNow();
    it.store.put("operator", "configuration", "3");
    REQUIRE(runUntil([&] {
        return it.hasLogged("configuration", 3);
    }));
    const Instant afterAnswer = suspendAwareNow();
    it.store.setError(StoreError::Unreachable);
    it.store.put("operator", "weights", "2");
    it.store.forgetHistory("operator");
    runFor(1s);
    it.store.setError(std::nullopt);
    REQUIRE(runUntil([&] {
        return it.hasLogged("weights_named");
    }));
    REQUIRE(it.hasLogged("topic_synced", 3)); // a new snapshot was read
    const Instant beforeRequest = suspendAwareNow();
    CHECK(it.sendRequest("/stream/").head.status == 200);
    const auto replacedFor = std::chrono::milliseconds(it.lastLine("request")["attempts"][0]["weights_replaced_ms"].get<std::int64_t>());
    CHECK(replacedFor >= std::chrono::floor<std::chrono::milliseconds>(beforeRequest - afterAnswer));
    CHECK(replacedFor <= suspendAwareNow() - beforeAnswer);
}
