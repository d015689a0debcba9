#include "auburndrum/net/httpclient.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

using namespace auburndrum::net;
using namespace std::chrono_literals;

namespace {

/// Answers each part of a request that ends with a blank line, or the first one on a connection, at once, and keeps its connections open.
class EarlyServer
{
public:
    EarlyServer()
    {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, [this] {
            ++connections;
            QTcpSocket *socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
                socket->readAll();
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            });
        });
    }

    Address address() const
    {
        return {m_server.serverAddress(), m_server.serverPort()};
    }

    int connections = 0;

private:
    QTcpServer m_server;
};

/// Starts a call and runs the event loop until it has ended. @param onBody is called with the call's handle
HttpResult run(HttpClient &client, const HttpCall &call, const std::function<void(HttpCallHandle &)> &onBody = {})
{
    QEventLoop loop;
    HttpResult result;
    HttpCallHandle handle;
    handle = client.start(call,
                          {.onBody =
                               [&](const QByteArray &part) {
                                   result.body += part;
                                   if (onBody) {
                                       onBody(handle);
                                   }
                               },
                           .onDone =
                               [&](const HttpResult &it) {
                                   result.failure = it.failure;
                                   result.reused = it.reused;
                                   loop.quit();
                               }});
    QTimer::singleShot(5s, &loop, &QEventLoop::quit);
    loop.exec();
    return result;
}

} // namespace

// Guards against requests that a sound server answers and whose answers are never read: reading was paused when the answer before them on the connection ended.
TEST_CASE("a connection on which reading was paused when its response ended is read again in the next call")
{
    EarlyServer server;
    HttpClient client;
    HttpCall call;
    call.peer = server.address();
    call.firstByteTimeout = 500ms;
    const HttpResult first = run(client, call, [](HttpCallHandle &handle) {
        handle.setReadingPaused(true);
    });
    CHECK(first.failure == HttpFailure::None);
    const HttpResult second = run(client, call);
    CHECK(second.failure == HttpFailure::None);
    CHECK(second.reused);
    CHECK(second.body == "done");
}

// Guards against a server that takes the next request for the rest of a body which was never sent, because it had answered early.
TEST_CASE("a connection is not reused when its request's body was not sent to the end")
{
    for (const std::optional<qint64> length : {std::optional<qint64>(1000), std::optional<qint64>()}) {
        EarlyServer server;
        HttpClient client;
        HttpCall call;
        call.peer = server.address();
        call.method = "POST";
        call.body = "a part";
        call.bodyFollows = true;
        call.bodyLength = length;
        CHECK(run(client, call).failure == HttpFailure::None);
        CHECK(run(client, {.peer = server.address()}).failure == HttpFailure::None);
        CHECK(server.connections == 2);
    }
}
