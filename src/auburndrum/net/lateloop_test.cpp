#include "auburndrum/net/httpclient.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <thread>

using namespace auburndrum::net;
using namespace std::chrono_literals;

// Guards against sound servers that count as out of reach or silent since the event loop that waited for them was busy itself: timers ran before the sockets on
// which connections and answers had arrived meanwhile (LOST).

namespace {

constexpr auto Timeout = 50ms;
constexpr auto BusyTime = 100ms;

/// Answers each request at once.
class PromptServer
{
public:
    PromptServer()
    {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, [this] {
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

private:
    QTcpServer m_server;
};

/// A call from whose answer's handler a second one is started, after which the loop is busy for a time.
HttpFailure secondOf(const HttpCall &call)
{
    HttpClient client;
    QEventLoop loop;
    QTimer always; // makes timers due in each iteration of the loop
    always.start(0ms);
    std::optional<HttpFailure> second;
    HttpCall first = call;
    first.connectTimeout = 10s;
    first.firstByteTimeout = 10s;
    client.start(first, {.onDone = [&](const HttpResult &) {
                     client.start(call, {.onDone = [&](const HttpResult &result) {
                                      second = result.failure;
                                      loop.quit();
                                  }});
                     std::this_thread::sleep_for(BusyTime);
                 }});
    QTimer::singleShot(10s, &loop, &QEventLoop::quit);
    loop.exec();
    REQUIRE(second);
    return *second;
}

} // namespace

TEST_CASE("a connection that opened while the event loop was busy is used")
{
    const PromptServer server;
    HttpCall call;
    call.peer = server.address();
    call.freshConnection = true;
    call.connectTimeout = Timeout;
    CHECK(secondOf(call) == HttpFailure::None);
}

TEST_CASE("a server that stays silent is still noticed")
{
    QTcpServer silent;
    silent.listen(QHostAddress::LocalHost);
    HttpClient client;
    HttpCall call;
    call.peer = {silent.serverAddress(), silent.serverPort()};
    call.firstByteTimeout = Timeout;
    QEventLoop loop;
    std::optional<HttpFailure> failure;
    client.start(call, {.onDone = [&](const HttpResult &result) {
                     failure = result.failure;
                     loop.quit();
                 }});
    QTimer::singleShot(2s, &loop, &QEventLoop::quit);
    loop.exec();
    CHECK(failure == HttpFailure::FirstByteTimeout);
}
