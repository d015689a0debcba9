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
