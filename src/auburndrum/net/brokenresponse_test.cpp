#include "auburndrum/net/exchange.h"
#include "auburndrum/net/httpserver.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpSocket>
#include <QTimer>

using namespace auburndrum::net;
using namespace std::chrono_literals;

namespace {

constexpr qsizetype PartBytes = 16 * 1024 * 1024; // more than the system holds for a caller that doesn't read
constexpr auto MaxLinger = 2s;

/// Runs the event loop until `isDone` holds; returns whether it does within the time.
bool runUntil(const std::function<bool()> &isDone, std::chrono::milliseconds time)
{
    QEventLoop loop;
    QTimer poll;
    QObject::connect(&poll, &QTimer::timeout, &loop, [&] {
        if (isDone()) {
            loop.quit();
        }
    });
    poll.start(5ms);
    QTimer::singleShot(time, Qt::PreciseTimer, &loop, &QEventLoop::quit);
    loop.exec();
    return isDone();
}

/// A server that breaks off each response after a part of these many bytes, and a caller that has sent it a request.
struct BrokenResponse
{
    explicit BrokenResponse(qsizetype bytes)
        : server({}, [this, bytes](const std::shared_ptr<Exchange> &exchange) {
            exchange->startStream(200, {});
            exchange->writeChunk(QByteArray(bytes, 'd'));
            exchange->breakOff();
            ++requests;
        })
    {
        const Address address = server.listenOn({QHostAddress(QStringLiteral("127.0.0.1")), 0});
        caller.setReadBufferSize(4096);
        caller.connectToHost(address.host, address.port);
        caller.write("GET / HTTP/1.1\r\nHost: host\r\n\r\n");
    }

    /// All that the caller gets until its connection ends.
    QByteArray read()
    {
        QByteArray all;
        caller.setReadBufferSize(0);
        const bool hasEnded = runUntil(
            [&] {
                all += caller.readAll();
                return caller.state() == QAbstractSocket::UnconnectedState;
            },
            MaxLinger);
        CHECK(hasEnded);
        return all;
    }

    int requests = 0;
    HttpServer server;
    QTcpSocket caller;
};

} // namespace

// Each case guards against callers who get neither an answer nor a refusal: what had been written of a response was dropped when the response broke off.

TEST_CASE("a response that breaks off brings its caller what was written, and doesn't look complete")
{
    BrokenResponse it(100);
    const QByteArray answer = it.read();
    CHECK(answer.startsWith("HTTP/1.1 200 "));
    CHECK(answer.endsWith("\r\n64\r\n" + QByteArray(100, 'd') + "\r\n"));
    CHECK(it.caller.error() == QAbstractSocket::RemoteHostClosedError); // no reset
}

TEST_CASE("a long response that breaks off reaches its caller as far as it was written")
{
    BrokenResponse it(PartBytes);
    CHECK(it.read().count('d') >= PartBytes);
}

TEST_CASE("no request is served behind a response that broke off")
{
    BrokenResponse it(PartBytes);
    it.caller.write(QByteArray("GET / HTTP/1.1\r\nHost: host\r\n\r\n").repeated(10000));
    CHECK(it.read().count('d') >= PartBytes);
    CHECK(it.requests == 1);
}

TEST_CASE("the connection of a response that broke off is closed after a while although its caller reads nothing")
{
    BrokenResponse it(PartBytes);
    REQUIRE(runUntil(
        [&it] {
            return it.requests == 1;
        },
        MaxLinger));
    CHECK(it.server.connectionCount() == 1);
    CHECK(runUntil(
        [&it] {
            return it.server.connectionCount() == 0;
        },
        MaxLinger));
}
