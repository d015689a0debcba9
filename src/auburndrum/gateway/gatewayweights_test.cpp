#include "eventloop.h"
#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const std::vector<net::Header> Sealed = {{"Id", "request-1"}, {"Seal", "s"}};
constexpr auto WeightsLimit = 800ms; // shorter than the routes' timeout, so that the limit ends a wait first

/// A gateway whose two servers have weights 1, for tests that name weights 2 while a request waits.
class NamedWhileWaiting
{
public:
    using Responder = GatewayFixture::Responder;

    explicit NamedWhileWaiting(Responder answer)
        : gateway(std::move(answer), true, [](GatewayFixture &, GatewayOptions &options) {
            options.outdatedWeightsLimit = WeightsLimit;
        })
    {
        gateway.extraHeaders = {{"Model", "m"}};
        gateway.store.put("servers", "a", gateway.serverAddresses[0] + " 1");
        gateway.store.put("servers", "b", gateway.serverAddresses[1] + " 1");
        REQUIRE(runUntil([&] {
            return gateway.hasLogged("backend_server", 4);
        }));
        // The second answer of the operator's topic sets the time from which the next naming counts.
        gateway.store.put("operator", "configuration", "2");
        REQUIRE(runUntil([&] {
            return gateway.hasLogged("configuration", 2);
        }));
        namedFrom = monotonicNow();
    }

    /// Names weights 2, and returns when the gateway has read them.
    void nameWeights()
    {
        gateway.store.put("operator", "weights", "2");
        REQUIRE(runUntil([&] {
            return gateway.hasLogged("weights_named");
        }));
    }

    GatewayFixture gateway;
    Instant namedFrom{}; ///< earliest time at which the newer weights may have been named
};

} // namespace

TEST_CASE("a request that has not begun when its server's weights reach their limit is sent to a server with newer weights")
{
    // Guards against a run on outdated weights: a request was sent within the limit, waited at a busy server and began there after it.
    std::optional<Instant> takenBackAt;
    std::vector<net::Exchange *> answered;
    NamedWhileWaiting fixture([&](const std::shared_ptr<net::Exchange> &exchange, int call) {
        if (call == 2) {
            exchange->setOnCallerDisconnected([&] {
                takenBackAt = monotonicNow();
            });
            fixture.nameWeights();
            const bool isFirst = exchange->header("Server") == "a";
            fixture.gateway.store.put("servers", isFirst ? "b" : "a", fixture.gateway.serverAddresses[isFirst ? 1 : 0] + " 2");
            return;
        }
        exchange->startStream(200, Sealed);
        exchange->writeChunk("id: 1\ndata: a\n\n");
        exchange->finishStream();
    });
    fixture.gateway.sendRequest("/stream/"); // earns half a retry
    const auto result = fixture.gateway.sendRequest("/stream/");
    CHECK(result.head.status == 200);
    CHECK(result.body == "id: 1\ndata: a\n\n");
    REQUIRE(fixture.gateway.receivedRequests.size() == 3);
    CHECK(fixture.gateway.receivedRequests[2]->header("Server") != fixture.gateway.receivedRequests[1]->header("Server"));
    REQUIRE(takenBackAt);
    CHECK(*takenBackAt < fixture.namedFrom + WeightsLimit);
    const auto &line = fixture.gateway.lastLine("request");
    CHECK(line["outcome"] == "served");
    CHECK(line["attempts"][0]["result"] == "outdated_weights");
}

TEST_CASE("a request that can't be sent again is answered at once when its server's weights reach their limit")
{
    // Guards against a run on outdated weights of a request that may run only once, and against a caller that waits for nothing.
    std::optional<Instant> takenBackAt;
    NamedWhileWaiting fixture([&](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->setOnCallerDisconnected([&] {
            takenBackAt = monotonicNow();
        });
        fixture.nameWeights();
    });
    const auto result = fixture.gateway.sendRequest("/brief/");
    CHECK(result.head.status == 502);
    CHECK(monotonicNow() < fixture.namedFrom + WeightsLimit);
    REQUIRE(takenBackAt);
    CHECK(*takenBackAt < fixture.namedFrom + WeightsLimit);
    CHECK(fixture.gateway.receivedRequests.size() == 1);
}

TEST_CASE("a stream that has begun goes on when its server's weights reach their limit")
{
    // Guards against a take-back of requests that began in time.
    NamedWhileWaiting fixture([&](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->startStream(200, Sealed);
        exchange->writeChunk("id: 1\ndata: a\n\n");
        fixture.nameWeights();
        QTimer::singleShot(WeightsLimit, [exchange] {
            exchange->writeChunk("id: 2\ndata: b\n\n");
            exchange->finishStream();
        });
    });
    const auto result = fixture.gateway.sendRequest("/brief/");
    CHECK(result.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("weights that were named before the start count as named so long ago that their limit passes when the VM has settled")
{
    // Guards against runs on outdated weights after a restart of all entry VMs during a roll-out that got nowhere: each process counted the limit from its
    // own start.
    GatewayFixture it(
        [](const std::shared_ptr<net::Exchange> &exchange, int) {
            exchange->respond(200, Sealed, "done");
        },
        true,
        [](GatewayFixture &fixture, GatewayOptions &options) {
            options.outdatedWeightsLimit = 3000ms;
            options.startSettleTime = 1500ms;
            fixture.store.put("servers", "a", fixture.serverAddresses[0] + " 1");
            fixture.store.put("servers", "b", fixture.serverAddresses[1] + " 1");
            fixture.store.put("operator", "weights", "2");
        });
    const auto startedAt = monotonicNow();
    it.extraHeaders = {{"Model", "m"}};
    CHECK(it.sendRequest("/once/").head.status == 200);
    REQUIRE(runUntil([&] {
        return monotonicNow() - startedAt > 1500ms;
    }));
    CHECK(it.sendRequest("/once/").head.status == 503);
    CHECK(it.lastLine("request")["no_server"] == "all servers have old weights");
}

TEST_CASE("a shorter limit that is set while a request waits applies to it")
{
    // Guards against a take-back that is timed once, when the request is sent: the limit, and the time that counts, may change while it waits.
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &, int) {
    });
    it.extraHeaders = {{"Model", "m"}};
    it.store.put("servers", "a", it.serverAddresses[0] + " 1");
    it.store.put("servers", "b", it.serverAddresses[1] + " 1");
    it.store.put("operator", "weights", "2");
    REQUIRE(runUntil([&] {
        return it.hasLogged("weights_named") && it.hasLogged("backend_server", 4);
    }));
    QTimer::singleShot(100ms, it.gateway.get(), [&] {
        GatewayOptions shorter;
        shorter.outdatedWeightsLimit = 400ms;
        it.gateway->reload(shorter);
    });
    CHECK(it.sendRequest("/brief/").head.status == 502);
    CHECK(it.lastLine("request")["attempts"][0]["result"] == "outdated_weights");
}
