#include "auburndrum/net/httpclient.h"
#include "auburndrum/net/httpserver.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

using namespace auburndrum::net;
using namespace std::chrono_literals;

namespace {

const Address AnyLoopbackPort{QHostAddress(QStringLiteral("127.0.0.1")), 0};
constexpr std::chrono::seconds Patience{20};

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
    QTimer::singleShot(Patience, &loop, &QEventLoop::quit);
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
    QTimer::singleShot(Patience, &loop, &QEventLoop::quit);
    loop.exec();
    return buf;
}

void connectTo(QTcpSocket &socket, const Address &address)
{
    QEventLoop loop;
    QObject::connect(&socket, &QTcpSocket::connected, &loop, &QEventLoop::quit);
    QTimer::singleShot(Patience, &loop, &QEventLoop::quit);
    socket.connectToHost(address.host, address.port);
    loop.exec();
}

} // namespace

TEST_CASE("a whole answer comes back with its headers")
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

TEST_CASE("a streamed answer arrives part by part and in order")
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

TEST_CASE("a second request on a connection is answered after the first one's stream")
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

TEST_CASE("too large a body is refused before it is sent")
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

TEST_CASE("too large a header is refused")
{
    HttpServer server({.maxHeaderBytes = 500}, [](const std::shared_ptr<Exchange> &) {
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("GET / HTTP/1.1\r\nX-Long: " + QByteArray(600, 'x'));
    CHECK(readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 431"));
}

TEST_CASE("a request that trickles in is refused when its time is over")
{
    HttpServer server({.requestTimeout = 100ms}, [](const std::shared_ptr<Exchange> &) {
    });
    QTcpSocket socket;
    connectTo(socket, server.listenOn(AnyLoopbackPort));
    socket.write("GET / HTTP/1.1\r\n");
    CHECK(readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 408"));
}

TEST_CASE("a server isn't idle while the last bytes of an answer wait to be sent")
{
    constexpr qsizetype AnswerBytes = 8 * 1024 * 1024; // more than the kernel takes at once
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

TEST_CASE("the handler hears that the caller has gone")
{
    bool gone = false;
    QEventLoop loop;
    HttpServer server({}, [&](const std::shared_ptr<Exchange> &it) {
        it->setOnCallerGone([&] {
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
    QTimer::singleShot(Patience, &loop, &QEventLoop::quit);
    loop.exec();
    CHECK(gone);
}

TEST_CASE("a refused connect is reported as not sent")
{
    QTcpServer closed;
    REQUIRE(closed.listen(QHostAddress::LocalHost, 0));
    const Address address{closed.serverAddress(), closed.serverPort()};
    closed.close();
    const HttpResult result = call({.peer = address});
    CHECK(result.failure == HttpFailure::ConnectFailed);
    CHECK_FALSE(result.sent);
}

TEST_CASE("a peer that takes the request and closes is reported as sent, and the request is sent once")
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

TEST_CASE("an answer cut short is not taken for a whole one")
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

TEST_CASE("silence after the request ends the call")
{
    QTcpServer peer;
    REQUIRE(peer.listen(QHostAddress::LocalHost, 0));
    const HttpResult result = call({.peer = {peer.serverAddress(), peer.serverPort()}, .firstByteTimeout = 60ms});
    CHECK(result.failure == HttpFailure::FirstByteTimeout);
    CHECK(result.sent);
}
