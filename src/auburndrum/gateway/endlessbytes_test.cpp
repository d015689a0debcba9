#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

#include <QFile>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr int Callers = 24; // at once
constexpr qint64 AllowedGrowth = 40 * 1024 * 1024; // of this process, which holds the servers, too
constexpr qsizetype BlockBytes = 64 * 1024;
constexpr auto AnswerTime = 800ms; // the route's timeout is 1 s; a request that failed is answered at once

const QByteArray Sealed = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\n";
const QByteArray Other = "HTTP/1.1 200 OK\r\nId: request-0\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno";
const QByteArray Interim = "HTTP/1.1 100 Continue\r\n\r\n";

QByteArray repeated(const QByteArray &unit)
{
    return unit.repeated(BlockBytes / unit.size() + 1);
}

qint64 residentBytes()
{
    QFile file(QStringLiteral("/proc/self/statm"));
    REQUIRE(file.open(QIODevice::ReadOnly));
    return file.readAll().split(' ').at(1).toLongLong() * 4096;
}

/// Writes `block` to each caller again and again, as fast as it is read, until the connection closes.
class EndlessServer
{
public:
    EndlessServer(const QByteArray &begin, const QByteArray &block)
        : server([this, begin, block](QTcpSocket *socket, const QByteArray &) {
            ++open;
            socket->write(begin);
            QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [socket, block] {
                if (socket->bytesToWrite() < BlockBytes) {
                    socket->write(block);
                }
            });
            QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] {
                --open;
            });
        })
    {
    }

    int open = 0;
    RawServer server;
};

/// Sends requests to a route that may not be repeated while its server writes without end.
void checkEnds(const QByteArray &target, const QByteArray &begin, const QByteArray &block)
{
    EndlessServer endless(begin, block);
    GatewayFixture it(
        [](const std::shared_ptr<net::Exchange> &, int) {
        },
        true,
        [&](GatewayFixture &fixture, GatewayOptions &options) {
            options.memoryBytes = 110 * 1024 * 1024;
            fixture.store.put("servers", "a", endless.server.address());
            fixture.store.put("servers", "b", std::nullopt);
        });
    const qint64 before = residentBytes();
    qint64 largest = before;
    std::vector<net::HttpResult> results;
    const auto begun = monotonicNow();
    for (int n = 0; n < Callers; ++n) {
        net::HttpCall call;
        call.peer = it.callerAddress;
        call.method = "POST";
        call.target = target;
        call.host = "host";
        call.headers = {{"Id", "request-1"}, {"Key", "key"}};
        it.client.start(call, {.onDone = [&](const net::HttpResult &result) {
                            results.push_back(result);
                        }});
    }
    runUntil([&] {
        largest = std::max(largest, residentBytes());
        return results.size() == Callers;
    });
    CHECK(monotonicNow() - begun < AnswerTime);
    CHECK(largest - before < AllowedGrowth);
    REQUIRE(results.size() == Callers);
    for (const net::HttpResult &result : results) {
        CHECK((result.failure != net::HttpFailure::None || result.head.status == 502));
    }
    CHECK(runUntil(
        [&] {
            return endless.open == 0;
        },
        500ms));
}

} // namespace

// Each case guards against a VM that runs out of memory, or holds its callers until their deadline, since a server writes bytes without end.

TEST_CASE("a header field without end")
{
    checkEnds("/single/", Sealed + "X: ", repeated("a"));
}

TEST_CASE("header fields without end")
{
    checkEnds("/single/", Sealed, repeated("X: a\r\n"));
}

TEST_CASE("a body without length and end")
{
    checkEnds("/single/", Sealed + "\r\n", repeated("a"));
}

TEST_CASE("chunks without end")
{
    checkEnds("/single/", Sealed + "Transfer-Encoding: chunked\r\n\r\n", repeated("4\r\naaaa\r\n"));
}

TEST_CASE("an event without end")
{
    checkEnds("/brief/", Sealed + "\r\nid: 1\ndata: ", repeated("a"));
}

TEST_CASE("lines of one event without end")
{
    checkEnds("/brief/", Sealed + "Transfer-Encoding: chunked\r\n\r\n", repeated("8\r\ndata: a\n\r\n"));
}

TEST_CASE("a chunk extension without end")
{
    checkEnds("/single/", Sealed + "Transfer-Encoding: chunked\r\n\r\n4;x=", repeated("a"));
}

TEST_CASE("trailers without end")
{
    checkEnds("/single/", Sealed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated("X: a\r\n"));
}

TEST_CASE("interim responses without end")
{
    checkEnds("/single/", Interim, repeated(Interim));
}

TEST_CASE("responses to other requests without end")
{
    checkEnds("/single/", Other, repeated(Other));
}

TEST_CASE("bytes that are no HTTP without end")
{
    checkEnds("/single/", "x", repeated("x"));
}
