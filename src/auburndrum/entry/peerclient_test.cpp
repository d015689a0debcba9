#include "auburndrum/entry/peerclient.h"

#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>

#include <optional>

using namespace auburndrum;
using namespace auburndrum::entry;

namespace {

/// A TCP server that responds to every request with fixed bytes, then closes the connection.
class RawServer
{
public:
    explicit RawServer(QByteArray answer)
        : m_answer(std::move(answer))
    {
        m_server.listen(QHostAddress::LocalHost, 0);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
            QTcpSocket *socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                m_request += socket->readAll();
                if (m_request.trimmed().endsWith('}')) {
                    socket->write(m_answer);
                    socket->disconnectFromHost();
                }
            });
        });
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server.serverPort());
    }
    const QByteArray &request() const
    {
        return m_request;
    }

private:
    QTcpServer m_server;
    QByteArray m_answer;
    QByteArray m_request;
};

/// Calls @p server and returns the result.
EntryResult<std::string> callRaw(RawServer &server)
{
    // Lives as long as the program, as a daemon's client does.
    static auto *http = new net::HttpClient(QCoreApplication::instance());
    const PeerCuts cuts;
    PeerClient client(*http, cuts, {.name = "entry-123", .fleetSecret = std::string(32, 's')});
    std::optional<EntryResult<std::string>> got;
    client.call({"entry-1", server.address(), "gossip", "{}"}, [&got](const EntryResult<std::string> &result) {
        got = result;
    });
    while (!got) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    return *got;
}

EntryError errorOf(RawServer &server)
{
    const auto result = callRaw(server);
    REQUIRE_FALSE(result);
    return result.error();
}

QByteArray okAnswer(const QByteArray &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("a call sends the fleet's secret and its name, and its headers fit into HttpOverheadBytes")
{
    const QByteArray body = R"({"jsonrpc":"2.0","id":1,"result":{}})";
    RawServer server(okAnswer(body));
    const auto result = callRaw(server);
    REQUIRE(result);
    CHECK(result.value() == "{}");
    const QByteArray request = server.request();
    CHECK(request.contains("X-Fleet-Secret: " + QByteArray(32, 's')));
    CHECK(request.contains("X-Peer-Name: entry-123"));
    const auto requestHeader = request.indexOf("\r\n\r\n") + 4;
    const auto answerHeader = okAnswer(body).size() - body.size();
    CHECK(static_cast<std::size_t>(requestHeader + answerHeader) <= HttpOverheadBytes);
    MESSAGE("header bytes of a call: " << requestHeader + answerHeader);
}

TEST_CASE("malformed, truncated and refusing responses give different errors")
{
    RawServer notJson(okAnswer("{"));
    CHECK(errorOf(notJson) == EntryError::Malformed);
    RawServer cutShort("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{");
    CHECK(errorOf(cutShort) == EntryError::Unanswered);
    RawServer refused("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    CHECK(errorOf(refused) == EntryError::Refused);
}
