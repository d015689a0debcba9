#include "auburndrum/net/httpclient.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <sys/socket.h>

using namespace auburndrum::net;
using namespace std::chrono_literals;

namespace {

const QByteArray Head = "HTTP/1.1 200 OK\r\n\r\n"; // without a length: the body ends with the connection
const QByteArray Body = "part of a body";

/// A call whose body is still being sent when the server's response has begun to arrive.
struct Upload
{
    Upload()
    {
        server.listen(QHostAddress::LocalHost);
        QObject::connect(&server, &QTcpServer::newConnection, [this] {
            connection = server.nextPendingConnection();
            QObject::connect(connection, &QTcpSocket::readyRead, connection, [this] {
                connection->readAll();
                if (received.isEmpty()) {
                    connection->write(Head + Body);
                    connection->flush();
                }
            });
        });
        HttpCall call;
        call.peer = {server.serverAddress(), server.serverPort()};
        call.method = "POST";
        call.bodyFollows = true;
        call.bodyLength = 1000000;
        handle = client.start(call,
                              {.onBody =
                                   [this](const QByteArray &part) {
                                       received += part;
                                       loop.quit();
                                   },
                               .onDone =
                                   [this](const HttpResult &it) {
                                       result = it;
                                       loop.quit();
                                   }});
        QTimer::singleShot(5s, &loop, &QEventLoop::quit);
        loop.exec();
        REQUIRE(received == Body);
    }

    /// Sends more of the body before the client has read how the connection ended.
    void sendMore()
    {
        for (int n = 0; n < 3; ++n) {
            handle.writeBody(QByteArray(1000, 'b'), false);
        }
    }

    QEventLoop loop;
    QTcpServer server;
    QTcpSocket *connection = nullptr;
    HttpClient client;
    HttpCallHandle handle;
    QByteArray received;
    std::optional<HttpResult> result;
};

} // namespace

// Guards against a part of a response that is passed on as the whole: its connection was reset, and the write of the request's body that met the reset took the
// error with it, so that the read that followed found an orderly end (MIXED).
TEST_CASE("a response that ends with its connection is not whole when the connection is reset while the request is still being sent")
{
    Upload it;
    const linger now{1, 0};
    ::setsockopt(static_cast<int>(it.connection->socketDescriptor()), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    it.connection->abort();
    it.sendMore();
    it.loop.exec();
    REQUIRE(it.result);
    CHECK(it.result->failure == HttpFailure::Closed);
}

// Guards against a whole response that is dropped: the server had closed the connection in order, and what was sent to it after that was reset.
TEST_CASE("a response that ends with its connection is whole when the server closes in order before it has read the whole request")
{
    Upload it;
    it.connection->disconnectFromHost();
    it.sendMore();
    it.loop.exec();
    REQUIRE(it.result);
    CHECK(it.result->failure == HttpFailure::None);
    CHECK(it.result->endedByClose);
    CHECK(it.received == Body);
}
