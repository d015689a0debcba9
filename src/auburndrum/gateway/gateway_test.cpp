#include "auburndrum/gateway/gateway.h"

#include "eventloop.h"
#include "gatewayfixture.h"

#include <QTcpSocket>

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const std::vector<net::Header> Sealed = {{"Id", "request-1"}, {"Seal", "s"}};

void respondOk(const std::shared_ptr<net::Exchange> &exchange, int /*call*/)
{
    exchange->respond(200, Sealed, "done");
}

} // namespace

TEST_CASE("a request reaches a backend server unchanged and its response is returned")
{
    GatewayFixture it(respondOk);
    const auto result = it.sendRequest("/once/a%2fb?x=1");
    CHECK(result.head.status == 200);
    CHECK(result.head.header("Seal") == "s");
    CHECK(result.body == "done");
    REQUIRE(it.receivedRequests.size() == 1);
    CHECK(it.receivedRequests[0]->head().target == "/once/a%2fb?x=1");
    CHECK(it.receivedRequests[0]->body() == "body");
    CHECK(it.receivedRequests[0]->header("Host") == "host");
    CHECK(it.receivedRequests[0]->header("Organisation") == "kattila");
    CHECK(it.receivedRequests[0]->header("Left").toInt() <= 1000);
    const auto &line = it.lastLine("request");
    CHECK(line["outcome"] == "served");
    CHECK(line["request"] == "request-1");
    CHECK(line["attempts"].size() == 1);
}

TEST_CASE("unknown routes and keys are refused by the gateway, but get a retryable 503 before the first configuration")
{
    GatewayFixture it(respondOk);
    CHECK(it.sendRequest("/nowhere/").head.status == 404);
    CHECK(it.sendRequest("/once/", "POST", "other").head.status == 401);
    CHECK(it.receivedRequests.empty());
    GatewayFixture unconfigured(respondOk, false);
    const auto result = unconfigured.sendRequest("/nowhere/");
    CHECK(result.head.status == 503);
    CHECK_FALSE(result.head.header("Retry-After").isEmpty());
}

TEST_CASE("an unsafe request that may have run is never sent again, and is not reported as \"not run\"")
{
    // Guards against running a request twice when a backend server runs it and its response is lost.
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->abort();
    });
    CHECK(it.sendRequest("/once/").head.status == 502);
    CHECK(it.receivedRequests.size() == 1);
    CHECK(it.lastLine("request")["outcome"] == "failed");
}

TEST_CASE("a request that a server refused without running goes to another server, within its route's limit")
{
    const auto refuse = [](int which) {
        return [which](const std::shared_ptr<net::Exchange> &exchange, int call) {
            if (call == which) {
                exchange->respond(503, {{"Id", "request-1"}, {"Not-Run", "1"}}, {});
                return;
            }
            exchange->respond(200, Sealed, "done");
        };
    };
    GatewayFixture single(refuse(1));
    const auto result = single.sendRequest("/single/");
    CHECK(result.head.status == 503);
    CHECK(result.head.header("Retry-After").toDouble() > 0);
    CHECK(single.receivedRequests.size() == 1);
    GatewayFixture early(refuse(1));
    CHECK(early.sendRequest("/once/").head.status == 503); // the first request earns half a retry, which is not enough for one
    GatewayFixture late(refuse(3));
    for (int n = 0; n < 3; ++n) {
        CHECK(late.sendRequest("/once/").head.status == 200);
    }
    CHECK(late.receivedRequests.size() == 4);
    CHECK(late.receivedRequests[2]->header("Server") != late.receivedRequests[3]->header("Server"));
}

TEST_CASE("a failed safe request is retried at another server, and a server's failure is forwarded when that fails too")
{
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &exchange, int call) {
        exchange->respond(call == 4 ? 200 : 500, Sealed, "answer " + QByteArray::number(call));
    });
    it.sendRequest("/safe/");
    const auto result = it.sendRequest("/safe/");
    CHECK(result.head.status == 500);
    CHECK(result.head.header("Seal") == "s");
    CHECK(it.sendRequest("/safe/").head.status == 200);
}

TEST_CASE("responses without the server's seal, or to another request, are not forwarded")
{
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->respond(200, {{"Id", "request-1"}}, "forged");
    });
    CHECK(it.sendRequest("/once/").head.status == 502);
    GatewayFixture other([](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->respond(200, {{"Id", "request-0"}, {"Seal", "s"}}, "another's");
    });
    CHECK(other.sendRequest("/once/").head.status == 504);
}

TEST_CASE("a broken stream continues at another server after its last complete event")
{
    // Guards against a corrupt stream when a server crashes in the middle of an event.
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &exchange, int call) {
        exchange->startStream(200, Sealed);
        if (call == 2) {
            exchange->writeChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            QTimer::singleShot(50ms, [exchange] {
                exchange->abort();
            });
            return;
        }
        exchange->writeChunk(call == 1 ? "id: 9\ndata: z\n\n" : "id: 3\ndata: c\n\n");
        exchange->finishStream();
    });
    it.sendRequest("/stream/"); // earns half a retry
    const auto result = it.sendRequest("/stream/");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    REQUIRE(it.receivedRequests.size() == 3);
    CHECK(it.receivedRequests[2]->header("After") == "2");
}

TEST_CASE("a broken stream that can't be resumed does not look complete")
{
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->startStream(200, Sealed);
        exchange->writeChunk("id: 1\ndata: a\n\n");
        QTimer::singleShot(50ms, [exchange] {
            exchange->abort();
        });
    });
    CHECK(it.sendRequest("/brief/").failure != net::HttpFailure::None);
    CHECK(it.lastLine("request")["outcome"] == "cut");
    CHECK(it.receivedRequests.size() == 1);
}

TEST_CASE("the caller gets a response when the route's timeout expires, and the server's connection is closed")
{
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &, int) {
    });
    const auto begin = monotonicNow();
    CHECK(it.sendRequest("/single/").head.status == 504);
    CHECK(monotonicNow() - begin < 1400ms);
    CHECK(runUntil([&] {
        return !it.receivedRequests[0]->isOpen();
    }));
}

TEST_CASE("a request that gets no response ends at its timeout, not a share of the timeout earlier or later")
{
    // Guards against final answers long after a long timeout: coarse timers are off by up to 5%, which is 0.75 s for a timeout of 15 s.
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &, int) {
    });
    constexpr int Requests = 20;
    std::vector<std::chrono::nanoseconds> elapsed;
    for (int n = 0; n < Requests; ++n) {
        net::HttpCall call;
        call.peer = it.callerAddress;
        call.method = "POST";
        call.target = "/single/";
        call.host = "host";
        call.headers = {{"Id", "request-" + QByteArray::number(n)}, {"Key", "key"}};
        it.client.start(call, {.onDone = [&elapsed, begin = monotonicNow()](const net::HttpResult &) {
                            elapsed.push_back(monotonicNow() - begin);
                        }});
        runFor(17ms);
    }
    REQUIRE(runUntil([&] {
        return elapsed.size() == Requests;
    }));
    for (const auto time : elapsed) {
        CHECK(time >= 999ms); // the timer counts whole milliseconds
        CHECK(time < 1500ms);
    }
}

TEST_CASE("when a caller disconnects, its request at the server is cancelled")
{
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &, int) {
    });
    QTcpSocket socket;
    socket.connectToHost(it.callerAddress.host, it.callerAddress.port);
    socket.write("POST /single/ HTTP/1.1\r\nHost: host\r\nId: request-1\r\nKey: key\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(runUntil([&] {
        return it.receivedRequests.size() == 1;
    }));
    socket.abort();
    CHECK(runUntil(
        [&] {
            return !it.receivedRequests[0]->isOpen();
        },
        500ms));
    CHECK(it.lastLine("request")["outcome"] == "caller_gone");
}

TEST_CASE("an older configuration never replaces a newer one, and a broken one is skipped")
{
    GatewayFixture it(respondOk);
    it.store.put("operator", "configuration", "5");
    REQUIRE(runUntil([&] {
        return it.sendRequest("/brief/").head.status == 404;
    }));
    it.store.put("operator", "configuration", "4");
    it.store.put("operator", "configuration", "broken");
    REQUIRE(runUntil([&] {
        return it.hasLogged("record_skipped");
    }));
    CHECK(it.sendRequest("/brief/").head.status == 404);
    CHECK(it.sendRequest("/once/").head.status == 200);
}

TEST_CASE("a server whose entry is removed gets no new requests")
{
    GatewayFixture it(respondOk);
    it.store.put("servers", "a", std::nullopt);
    REQUIRE(runUntil([&] {
        return it.lastLine("backend_server")["change"] == "removed";
    }));
    for (int n = 0; n < 5; ++n) {
        it.sendRequest("/once/");
    }
    for (const auto &exchange : it.receivedRequests) {
        CHECK(exchange->header("Server") == "b");
    }
}

TEST_CASE("a planned stop completes requests in progress, reports not ready, and then accepts no connection")
{
    std::shared_ptr<net::Exchange> waiting;
    GatewayFixture it([&](const std::shared_ptr<net::Exchange> &exchange, int) {
        waiting = exchange;
    });
    bool isStopped = false;
    QTcpSocket socket;
    QByteArray answer;
    QObject::connect(&socket, &QTcpSocket::readyRead, &socket, [&] {
        answer += socket.readAll();
    });
    socket.connectToHost(it.callerAddress.host, it.callerAddress.port);
    socket.write("POST /single/ HTTP/1.1\r\nHost: host\r\nId: request-1\r\nKey: key\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(runUntil([&] {
        return waiting != nullptr;
    }));
    it.gateway->stop([&] {
        isStopped = true;
    });
    net::HttpCall ready;
    ready.peer = it.readinessAddress;
    ready.target = "/readiness";
    int status = 0;
    it.client.start(ready, {.onDone = [&](const net::HttpResult &result) {
                        status = result.head.status;
                    }});
    CHECK(runUntil([&] {
        return status == 503;
    }));
    waiting->respond(200, Sealed, "done");
    CHECK(runUntil([&] {
        return answer.endsWith("done");
    }));
    CHECK(answer.contains("Connection: close"));
    CHECK(runUntil([&] {
        return isStopped;
    }));
    QTcpSocket late;
    late.connectToHost(it.callerAddress.host, it.callerAddress.port);
    runFor(200ms);
    CHECK(late.state() != QAbstractSocket::ConnectedState);
}
