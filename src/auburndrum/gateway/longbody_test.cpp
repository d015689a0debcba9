#include "gatewayfixture.h"

#include "eventloop.h"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>

#include <sys/socket.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// Guards against a request with a long body that gets no answer: once its server had read too slowly for a moment, nothing read on from the caller, and the
// connection was closed at the end of its idle time (LOST).
TEST_CASE("a long body goes on to its server after the server has read slowly for a while")
{
    const QByteArray body(32 * 1024 * 1024, 'b');
    QTcpServer slow;
    slow.listen(QHostAddress::LocalHost);
    const int smallBuffer = 16 * 1024; // so that the system holds little of the body
    ::setsockopt(static_cast<int>(slow.socketDescriptor()), SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof(smallBuffer));
    qsizetype received = 0;
    QObject::connect(&slow, &QTcpServer::newConnection, [&] {
        QTcpSocket *socket = slow.nextPendingConnection();
        socket->setReadBufferSize(1024);
        QTimer::singleShot(300ms, socket, [socket, &received, &body] {
            socket->setReadBufferSize(0);
            const auto read = [socket, &received, &body] {
                received += socket->readAll().size();
                if (received > body.size()) {
                    socket->write("HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone");
                    received = 0;
                }
            };
            QObject::connect(socket, &QTcpSocket::readyRead, socket, read);
            read();
        });
    });
    GatewayFixture it(
        [](const std::shared_ptr<net::Exchange> &, int) {
        },
        true,
        [&slow, &body](GatewayFixture &fixture, GatewayOptions &) {
            fixture.limits.maxBodyBytes = static_cast<std::uint32_t>(body.size());
            fixture.limits.idleTimeout = 1s;
            fixture.store.put("servers", "a", QByteArray::fromStdString(net::toText({slow.serverAddress(), slow.serverPort()})));
            fixture.store.put("servers", "b", std::nullopt);
        });
    it.requestBody = body;
    const auto result = it.sendRequest("/slow/x");
    CHECK(result.head.status == 200);
    CHECK(result.body == "done");
}
