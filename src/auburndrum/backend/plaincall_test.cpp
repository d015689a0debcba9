#include "auburndrum/backend/enginestream.h"
#include "auburndrum/backend/plaincall.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <optional>

using namespace auburndrum;
using namespace auburndrum::backend;

namespace {

constexpr std::chrono::seconds CallTimeout{20};

/// A server that sends `answer` to each request and closes the connection in order.
class ClosingServer
{
public:
    explicit ClosingServer(const QByteArray &answer)
    {
        REQUIRE(m_server.listen(QHostAddress::LocalHost, 0));
        QObject::connect(&m_server, &QTcpServer::newConnection, [this, answer] {
            QTcpSocket *socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, answer] {
                socket->readAll();
                socket->write(answer);
                socket->disconnectFromHost();
            });
        });
    }

    net::Address address() const
    {
        return {m_server.serverAddress(), m_server.serverPort()};
    }

private:
    QTcpServer m_server;
};

PlainEndKind endOfPlainCall(const QByteArray &answer)
{
    ClosingServer server(answer);
    net::HttpClient client;
    QEventLoop loop;
    std::optional<PlainEndKind> kind;
    sendPlain(client, {.server = server.address(), .method = "POST", .target = "/", .attemptId = "a1"}, [&](const PlainEnd &end) {
        kind = end.kind;
        loop.quit();
    });
    QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
    loop.exec();
    REQUIRE(kind);
    return *kind;
}

EngineEndKind endOfCompletion(const QByteArray &answer)
{
    ClosingServer server(answer);
    net::HttpClient client;
    QEventLoop loop;
    std::optional<EngineEndKind> kind;
    EngineHooks hooks;
    hooks.onAccepted = [](const net::HttpHead &) {
    };
    hooks.onEvents = [](const QByteArray &) {
    };
    hooks.onEnd = [&](const EngineEnd &end) {
        kind = end.kind;
        loop.quit();
    };
    EngineAttempt attempt;
    attempt.server = server.address();
    attempt.target = "/";
    attempt.attemptId = "a1";
    attempt.isStream = false;
    const auto stream = EngineStream::start(client, attempt, hooks);
    QTimer::singleShot(CallTimeout, &loop, &QEventLoop::quit);
    loop.exec();
    REQUIRE(kind);
    return *kind;
}

const QByteArray Head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n";

} // namespace

TEST_CASE("a response of a plain service that only the close of its connection ends is not complete")
{
    // Guards against half an answer that is passed on and recorded as the outcome of a call that can't be repeated.
    CHECK(endOfPlainCall(Head + "\r\n{\"order\":") == PlainEndKind::Broken);
    CHECK(endOfPlainCall(Head + "Content-Length: 2\r\n\r\n{}") == PlainEndKind::Answered);
}

TEST_CASE("a completion that only the close of its connection ends is not complete")
{
    // Guards against half a completion that is passed on as a whole one.
    CHECK(endOfCompletion(Head + "\r\n{\"text\":") == EngineEndKind::Broken);
    CHECK(endOfCompletion(Head + "Content-Length: 2\r\n\r\n{}") == EngineEndKind::Complete);
}
