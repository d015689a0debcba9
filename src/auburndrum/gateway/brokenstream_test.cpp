#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawcaller.h"
#include "rawserver.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// Guards against callers who get neither an answer nor a refusal: when a stream broke off, what had been written for its caller was dropped, the head too
// (LOST).

namespace {

const QByteArray Head = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const QByteArray LastChunk = "\r\n0\r\n\r\n";

QByteArray chunk(const QByteArray &part)
{
    return QByteArray::number(part.size(), 16) + "\r\n" + part + "\r\n";
}

/// A stream of which a first part arrives: a broken one has no last chunk.
QByteArray events(int count, qsizetype bytes)
{
    QByteArray all;
    for (int n = 1; n <= count; ++n) {
        all += "id: " + QByteArray::number(n) + "\ndata: " + QByteArray(bytes, 'd') + "\n\n";
    }
    return all;
}

/// A gateway before one server.
struct Site
{
    explicit Site(RawServer::Responder respond)
        : server(std::move(respond))
        , gateway(
              [](const std::shared_ptr<net::Exchange> &, int) {
              },
              true,
              [this](GatewayFixture &it, GatewayOptions &) {
                  it.store.put("servers", "a", server.address());
                  it.store.put("servers", "b", std::nullopt);
              })
        , caller(gateway.callerAddress)
    {
    }

    bool isConcluded() const
    {
        return gateway.hasLogged("request");
    }

    RawServer server;
    GatewayFixture gateway;
    RawCaller caller;
};

/// The answer's bytes until the connection has ended.
QByteArray readToTheEnd(RawCaller &caller)
{
    QByteArray answer;
    CHECK(runUntil([&] {
        answer += caller.readAll();
        return caller.hasEnded();
    }));
    return answer;
}

} // namespace

TEST_CASE("a stream whose server breaks off right after an event brings its caller that event")
{
    for (int n = 0; n < 50; ++n) {
        Site it([](QTcpSocket *socket, const QByteArray &) {
            socket->write(Head + chunk(events(1, 10)));
            socket->disconnectFromHost();
        });
        it.caller.send(requestText("/brief/x", "body"));
        const QByteArray answer = readToTheEnd(it.caller);
        CHECK(answer.startsWith("HTTP/1.1 200 "));
        CHECK(answer.contains(events(1, 10)));
        CHECK_FALSE(answer.endsWith(LastChunk));
        CHECK(it.gateway.lastLine("request")["outcome"] == "cut");
    }
}

TEST_CASE("a stream that breaks off while its caller reads slowly brings the caller all whole events that had arrived")
{
    const QByteArray all = events(100, 1000);
    Site it([&all](QTcpSocket *socket, const QByteArray &) {
        socket->write(Head + chunk(all + "id: 101\ndata: "));
        socket->disconnectFromHost();
    });
    it.caller.setReceiveBuffer(4096);
    it.caller.send(requestText("/brief/x", "body"));
    REQUIRE(runUntil([&it] {
        return it.isConcluded();
    }));
    const QByteArray answer = readToTheEnd(it.caller);
    CHECK(answer.count("data: ") == 100);
    CHECK_FALSE(answer.endsWith(LastChunk));
}

TEST_CASE("a stream that runs out of time brings its caller what had been written")
{
    const QByteArray all = events(30, 1000);
    Site it([&all](QTcpSocket *socket, const QByteArray &) {
        QTimer::singleShot(200ms, socket, [socket, all] {
            socket->write(Head + chunk(all));
        });
    });
    it.caller.setReceiveBuffer(4096);
    it.caller.send("POST /brief/x HTTP/1.1\r\nHost: host\r\nId: request-1\r\nKey: key\r\nPatience: 300\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(runUntil([&it] {
        return it.isConcluded();
    }));
    const QByteArray answer = readToTheEnd(it.caller);
    CHECK(answer.count("data: ") == 30);
    CHECK_FALSE(answer.endsWith(LastChunk));
    CHECK(it.gateway.lastLine("request")["reason"] == "out of time");
}

TEST_CASE("a stream that breaks off reaches its caller although the caller's next request has arrived")
{
    const QByteArray all = events(30, 1000);
    Site it([&all](QTcpSocket *socket, const QByteArray &) {
        socket->write(Head + chunk(all + "id: 31\n"));
        socket->disconnectFromHost();
    });
    it.caller.setReceiveBuffer(4096);
    it.caller.send(requestText("/brief/x", "body") + requestText("/safe/x", QByteArray(200000, 'b'), "request-2"));
    REQUIRE(runUntil([&it] {
        return it.isConcluded();
    }));
    const QByteArray answer = readToTheEnd(it.caller);
    CHECK(answer.count("data: ") == 30);
    CHECK(it.server.requests() == 1);
}
