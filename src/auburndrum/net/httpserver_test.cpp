#include "auburndrum/net/httpclient.h"
#include "auburndrum/net/httpserver.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <sys/socket.h>

#include <algorithm>

using namespace auburndrum::net;
using namespace std::chrono_literals;

namespace {

const Address AnyLoopbackPort{QHostAddress(QStringLiteral("127.0.0.1")), 0};
constexpr std::chrono::seconds CallTimeout{20};

HttpResult call(const HttpCall &request, std::function<void(const QByteArray &)> onBody = {})
{
    HttpClient client;
    QEventLoop loop;
    HttpResult result;
    HttpHooks hooks;
    hooks.onBody = std::move(onBody);
    hooks.onDone = [&](const HttpResult &it) {
        result = it;
        loop.quit();
    };
    client.start(request, hooks);
    QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
    loop.exec();
    return result;
}

QByteArray readUntil(QTcpSocket &socket, const QByteArray &mark)
{
    QByteArray buf;
    QEventLoop loop;
    QObject::connect(&socket, &QTcpSocket::readyRead, &loop, [&] {
        buf += socket.readAll();
        if (buf.contains(mark)) {
            loop.quit();
        }
    });
    QObject::connect(&socket, &QTcpSocket::disconnected, &loop, &QEventLoop::quit);
    QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
    loop.exec();
    return buf;
}

void connectTo(QTcpSocket &socket, const Address &address)
{
    QEventLoop loop;
    QObject::connect(&socket, &QTcpSocket::connected, &loop, &QEventLoop::quit);
    QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
    socket.connectToHost(address.host, address.port);
    loop.exec();
}

} // namespace

TEST_CASE("a call receives the complete response with its header fields")
{
    HttpServer server({}, [](const std::shared_ptr<Exchange> &it) {
        it->respond(201, {{"X-Path", it->path()}, {"X-Query", it->query("a")}}, "got " + it->body());
    });
    const Address address = server.listenOn(AnyLoopbackPort);
    const HttpResult result = call({.peer = address, .method = "POST", .target = "/some/path?a=b%20c", .body = "hello"});
    CHECK(result.failure == HttpFailure::None);
    CHECK(result.head.status == 201);
    CHECK(result.head.header("x-path") == "/some/path");
    CHECK(result.head.header("x-query") == "b c");
    CHECK(result.body == "got hello");
}

// Guards against values from outside, such as names in another writer's entries, that add fields to a request or a response.
TEST_CASE("line ends in a field's value add no fields")
{
    std::vector<Header> received;
    HttpServer server({}, [&](const std::shared_ptr<Exchange> &it) {
        received = it->head().headers;
        it->respond(200, {{"X-Answer", "a\r\nX-More: b\r\n\r\nc"}}, {});
    });
    const HttpResult result = call({.peer = server.listenOn(AnyLoopbackPort), .headers = {{"X-Value", "a\r\nX-Added: b\n\nc"}}});
    CHECK(result.failure == HttpFailure::None);
    CHECK(headerValue(received, "X-Added").isEmpty());
    CHECK(headerValue(received, "X-Value").startsWith("a"));
    CHECK(result.head.header("X-More").isEmpty());
    CHECK(result.body.isEmpty());
}

TEST_CASE("the parts of a streamed response arrive complete and in order")
{
    HttpServer server({}, [](const std::shared_ptr<Exchange> &it) {
        it->startStream(200, {});
        for (int n = 0; n < 50; ++n) {
            it->writeChunk(QByteArray::number(n) + ',');
        }
        it->finishStream();
    });
    QByteArray body;
    const HttpResult result = call({.peer = server.listenOn(AnyLoopbackPort)}, [&](const QByteArray &part) {
        body += part;
    });
    CHECK(result.failure == HttpFailure::None);
    CHECK(body.startsWith("0,1,2,"));
    CHECK(body.endsWith(",48,49,"));
}

TEST_CASE("a pipelined request is answered after the streamed response to the first one")
{
    std::vector<std::shared_ptr<Exchange>> seen;
    HttpServer server({}, [&](const std::shared_ptr<Exchange> &it) {
        seen.push_back(it);
        if (it->path() == "/first") {
            it->startStream(200, {});
            QTimer::singleShot(50ms, [it] {
                it->writeChunk("first");
                it->finishStream();
            });
            return;
        }
        it->respond(200, {}, "second");
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    const QByteArray answer = readUntil(socket, "second");
    CHECK(seen.size() == 2);
    CHECK(answer.indexOf("first") > 0);
    CHECK(answer.indexOf("second") > answer.indexOf("first"));
}

TEST_CASE("a request whose announced body is too large is rejected before the body is sent")
{
    bool handled = false;
    HttpServer server({.maxBodyBytes = 1000}, [&](const std::shared_ptr<Exchange> &) {
        handled = true;
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
    CHECK(readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 413"));
    CHECK_FALSE(handled);
}

TEST_CASE("a request whose header is too large is rejected")
{
    HttpServer server({.maxHeaderBytes = 500}, [](const std::shared_ptr<Exchange> &) {
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("GET / HTTP/1.1\r\nX-Long: " + QByteArray(600, 'x'));
    CHECK(readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 431"));
}

TEST_CASE("a request that is incomplete after requestTimeout is rejected")
{
    HttpServer server({.requestTimeout = 100ms}, [](const std::shared_ptr<Exchange> &) {
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("GET / HTTP/1.1\r\n");
    CHECK(readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 408"));
}

TEST_CASE("the server isn't idle while bytes of a response wait to be sent")
{
    constexpr qsizetype AnswerBytes = 8 * 1024 * 1024; // more than the kernel accepts at once
    bool wasIdle = true;
    std::unique_ptr<HttpServer> server;
    server = std::make_unique<HttpServer>(HttpServerOptions{}, [&](const std::shared_ptr<Exchange> &it) {
        it->respond(200, {}, QByteArray(AnswerBytes, 'x'));
        wasIdle = server->isIdle();
    });
    const HttpResult result = call({.peer = server->listenOn(AnyLoopbackPort)});
    CHECK(result.body.size() == AnswerBytes);
    CHECK_FALSE(wasIdle);
    CHECK(server->isIdle());
}

TEST_CASE("the hook of setOnCallerDisconnected() runs when the caller disconnects during a response")
{
    bool gone = false;
    QEventLoop loop;
    HttpServer server({}, [&](const std::shared_ptr<Exchange> &it) {
        it->setOnCallerDisconnected([&] {
            gone = true;
            loop.quit();
        });
        it->startStream(200, {});
        it->writeChunk("x");
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    readUntil(socket, "x");
    socket.abort();
    QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
    loop.exec();
    CHECK(gone);
}

TEST_CASE("a call whose connection is refused is reported as not sent")
{
    QTcpServer closed;
    REQUIRE(closed.listen(QHostAddress::LocalHost, 0));
    const Address address{closed.serverAddress(), closed.serverPort()};
    closed.close();
    const HttpResult result = call({.peer = address});
    CHECK(result.failure == HttpFailure::ConnectFailed);
    CHECK_FALSE(result.sent);
}

TEST_CASE("a request is reported as sent and is not repeated when the peer closes after reading it")
{
    int requests = 0;
    QTcpServer peer;
    REQUIRE(peer.listen(QHostAddress::LocalHost, 0));
    QObject::connect(&peer, &QTcpServer::newConnection, [&] {
        QTcpSocket *socket = peer.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [&requests, socket] {
            ++requests;
            socket->readAll();
            socket->disconnectFromHost();
        });
    });
    const HttpResult result = call({.peer = {peer.serverAddress(), peer.serverPort()}, .method = "POST", .body = "order"});
    CHECK(result.failure == HttpFailure::Closed);
    CHECK(result.sent);
    CHECK(requests == 1);
}

TEST_CASE("a truncated chunked response is reported as a failure")
{
    QTcpServer peer;
    REQUIRE(peer.listen(QHostAddress::LocalHost, 0));
    QObject::connect(&peer, &QTcpServer::newConnection, [&] {
        QTcpSocket *socket = peer.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
            socket->readAll();
            socket->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
            socket->disconnectFromHost();
        });
    });
    const HttpResult result = call({.peer = {peer.serverAddress(), peer.serverPort()}});
    CHECK(result.failure == HttpFailure::Closed);
}

namespace {

/// Calls a peer that sends a response without a length and then resets the connection or closes it in order.
HttpResult callWithoutLength(bool isReset)
{
    QTcpServer peer;
    REQUIRE(peer.listen(QHostAddress::LocalHost, 0));
    QObject::connect(&peer, &QTcpServer::newConnection, [&] {
        QTcpSocket *socket = peer.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, isReset] {
            socket->readAll();
            socket->write("HTTP/1.1 200 OK\r\n\r\nhalf");
            socket->flush();
            QTimer::singleShot(50ms, socket, [socket, isReset] {
                const linger resetOnClose{1, 0};
                if (isReset) {
                    setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
                    socket->abort();
                    return;
                }
                socket->disconnectFromHost();
            });
        });
    });
    return call({.peer = {peer.serverAddress(), peer.serverPort()}});
}

} // namespace

TEST_CASE("a response without a length is complete when its connection is closed in order")
{
    const HttpResult result = callWithoutLength(false);
    CHECK(result.failure == HttpFailure::None);
    CHECK(result.body == "half");
}

TEST_CASE("a response without a length is incomplete when its connection is reset")
{
    // Guards against a truncated response being forwarded as complete: when a backend server crashes while it sends, its connection is reset,
    // which QTcpSocket reports as an orderly close.
    CHECK(callWithoutLength(true).failure == HttpFailure::Closed);
}

TEST_CASE("a response to another call is skipped, and the response after it is accepted")
{
    QTcpServer peer;
    REQUIRE(peer.listen(QHostAddress::LocalHost, 0));
    QObject::connect(&peer, &QTcpServer::newConnection, [&] {
        QTcpSocket *socket = peer.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
            socket->readAll();
            socket->write("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nstale");
            socket->write("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nfresh");
        });
    });
    HttpClient client;
    QEventLoop loop;
    HttpResult result;
    HttpHooks hooks;
    hooks.isForCall = [](const HttpHead &head) {
        return head.header("X-Id") == "mine";
    };
    hooks.onDone = [&](const HttpResult &it) {
        result = it;
        loop.quit();
    };
    client.start({.peer = {peer.serverAddress(), peer.serverPort()}}, hooks);
    QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
    loop.exec();
    CHECK(result.failure == HttpFailure::None);
    CHECK(result.body == "fresh");
}

TEST_CASE("a response to another call that only the close of its connection ends is no response to this call")
{
    // Guards against a call that succeeds without a response: the header of another call's response arrives in two parts, its body has no length.
    QTcpServer peer;
    REQUIRE(peer.listen(QHostAddress::LocalHost, 0));
    QObject::connect(&peer, &QTcpServer::newConnection, [&] {
        QTcpSocket *socket = peer.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
            socket->readAll();
            socket->write("HTTP/1.1 200 OK\r\nX-Id: ot");
            socket->flush();
            QTimer::singleShot(50ms, socket, [socket] {
                socket->write("her\r\n\r\nstale");
                socket->disconnectFromHost();
            });
        });
    });
    HttpClient client;
    QEventLoop loop;
    HttpResult result;
    HttpHooks hooks;
    hooks.isForCall = [](const HttpHead &head) {
        return head.header("X-Id") == "mine";
    };
    hooks.onDone = [&](const HttpResult &it) {
        result = it;
        loop.quit();
    };
    client.start({.peer = {peer.serverAddress(), peer.serverPort()}}, hooks);
    QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
    loop.exec();
    CHECK(result.failure == HttpFailure::Closed);
    CHECK(result.body.isEmpty());
}

TEST_CASE("a kept-alive connection is not reused when bytes followed the response")
{
    int connections = 0;
    QTcpServer peer;
    REQUIRE(peer.listen(QHostAddress::LocalHost, 0));
    QObject::connect(&peer, &QTcpServer::newConnection, [&] {
        ++connections;
        QTcpSocket *socket = peer.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
            socket->readAll();
            socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        });
    });
    HttpClient client;
    for (int n = 0; n < 2; ++n) {
        QEventLoop loop;
        HttpHooks hooks;
        hooks.onDone = [&](const HttpResult &it) {
            CHECK(it.body == "ok");
            loop.quit();
        };
        client.start({.peer = {peer.serverAddress(), peer.serverPort()}}, hooks);
        QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
        loop.exec();
    }
    CHECK(connections == 2);
}

TEST_CASE("the target and repeated header fields of a request reach the handler unchanged")
{
    RequestHead seen;
    HttpServer server({}, [&](const std::shared_ptr<Exchange> &it) {
        seen = it->head();
        it->respond(200, {}, "ok");
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("GET /a%2fb//c?x=%20&x=+ HTTP/1.1\r\nHost: a\r\nX-Two: 1\r\nX-Two: 2\r\n\r\n");
    CHECK(readUntil(socket, "ok").startsWith("HTTP/1.1 200"));
    CHECK(seen.target == "/a%2fb//c?x=%20&x=+");
    CHECK(std::count_if(seen.headers.begin(),
                        seen.headers.end(),
                        [](const Header &it) {
                            return it.name == "X-Two";
                        })
          == 2);
}

TEST_CASE("a request with both Content-Length and Transfer-Encoding is rejected")
{
    // Guards against request smuggling: a second request hides in the body when two parsers disagree about where the body ends.
    bool handled = false;
    HttpServer server({}, [&](const std::shared_ptr<Exchange> &) {
        handled = true;
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
    CHECK(readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 400"));
    CHECK_FALSE(handled);
}

TEST_CASE("a long body reaches the handler in parts, and no more arrives while it is paused")
{
    constexpr qsizetype BodyBytes = 2 * 1024 * 1024;
    qsizetype received = 0;
    bool complete = false;
    QEventLoop loop;
    HttpServer server({.bodyStreamingThreshold = 1000}, [&](const std::shared_ptr<Exchange> &it) {
        received = it->body().size();
        CHECK_FALSE(it->isBodyComplete());
        it->setBodyPaused(true);
        it->setOnBodyPart([&, it](const QByteArray &part, bool last) {
            received += part.size();
            complete = last;
            if (last) {
                it->respond(200, {}, "ok");
            }
        });
        QTimer::singleShot(100ms, &loop, [&, it] {
            CHECK(received < BodyBytes / 4);
            it->setBodyPaused(false);
        });
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + QByteArray::number(BodyBytes) + "\r\n\r\n" + QByteArray(BodyBytes, 'x'));
    CHECK(readUntil(socket, "ok").startsWith("HTTP/1.1 200"));
    CHECK(complete);
    CHECK(received == BodyBytes);
}

TEST_CASE("a server that closes after responses sends \"Connection: close\", and closeIdleConnections() closes idle ones")
{
    HttpServer server({}, [](const std::shared_ptr<Exchange> &it) {
        it->respond(200, {}, "ok");
    });
    const Address address = server.listenOn(AnyLoopbackPort);
    QTcpSocket waiting;
    connectTo(waiting, address);
    QTcpSocket socket;
    connectTo(socket, address);
    server.closeAfterAnswers();
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(readUntil(socket, "ok").contains("Connection: close"));
    QEventLoop loop;
    QObject::connect(&waiting, &QTcpSocket::disconnected, &loop, &QEventLoop::quit);
    QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
    server.closeIdleConnections();
    loop.exec();
    CHECK(waiting.state() == QAbstractSocket::UnconnectedState);
}

TEST_CASE("a call fails with FirstByteTimeout when no response starts in time")
{
    QTcpServer peer;
    REQUIRE(peer.listen(QHostAddress::LocalHost, 0));
    const HttpResult result = call({.peer = {peer.serverAddress(), peer.serverPort()}, .firstByteTimeout = 60ms});
    CHECK(result.failure == HttpFailure::FirstByteTimeout);
    CHECK(result.sent);
}
