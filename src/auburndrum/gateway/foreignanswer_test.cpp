#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

// Guards against answers that are believed without being shown to be this request's: a faulty server writes an earlier refusal once more where the answer to
// the next request is due, and the caller is told that a request has not run which the server runs, or the request runs at a second server.

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

QByteArray fieldOf(const QByteArray &request, const QByteArray &name)
{
    const auto begin = request.indexOf("\r\n" + name + ": ") + name.size() + 4;
    return request.mid(begin, request.indexOf("\r\n", begin) - begin);
}

QByteArray answerText(const QByteArray &status, const QByteArray &id, const QByteArray &body)
{
    const QByteArray idField = id.isEmpty() ? QByteArray() : "Id: " + id + "\r\n";
    const QByteArray notRun = status == "200" ? QByteArray("Seal: s\r\n") : QByteArray("Not-Run: 1\r\n");
    return "HTTP/1.1 " + status + " X\r\n" + idField + notRun + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

/// A gateway before one server, which answers the first request on each connection and writes something foreign before each later answer.
class FaultyServer
{
public:
    /// @param foreign text before the answer; receives the id of the connection's first request and that of the present one
    explicit FaultyServer(std::function<QByteArray(const QByteArray &first, const QByteArray &present)> foreign)
        : server([this, foreign = std::move(foreign)](QTcpSocket *socket, const QByteArray &request) {
            const QByteArray id = fieldOf(request, "Attempt");
            const auto first = m_firstIds.find(socket);
            if (first == m_firstIds.end()) {
                m_firstIds[socket] = id;
                socket->write(answerText("200", id, "answer"));
                return;
            }
            ++laterRequests;
            socket->write(foreign(first->second, id));
            QTimer::singleShot(30ms, socket, [socket, id] {
                socket->write(answerText("200", id, "answer"));
            });
        })
        , gateway(
              [](const std::shared_ptr<net::Exchange> &, int) {
              },
              true,
              [this](GatewayFixture &it, GatewayOptions &) {
                  it.store.put("servers", "a", server.address());
                  it.store.put("servers", "b", std::nullopt);
              })
    {
        gateway.requestId = "first";
        CHECK(gateway.sendRequest("/once/x").head.status == 200);
    }

    int laterRequests = 0; ///< on connections that had carried another one
    RawServer server;
    GatewayFixture gateway;

private:
    std::map<QTcpSocket *, QByteArray> m_firstIds;
};

} // namespace

TEST_CASE("a refusal that is written again before the answer is not taken for the answer")
{
    std::function<QByteArray(const QByteArray &, const QByteArray &)> foreign;
    SUBCASE("without an id")
    {
        foreign = [](const QByteArray &, const QByteArray &) {
            return answerText("503", {}, "refused");
        };
    }
    SUBCASE("with the earlier request's id")
    {
        foreign = [](const QByteArray &first, const QByteArray &) {
            return answerText("503", first, "refused");
        };
    }
    SUBCASE("with status 421 and without an id")
    {
        foreign = [](const QByteArray &, const QByteArray &) {
            return answerText("421", {}, "refused");
        };
    }
    for (const QByteArray route : {"/once/x", "/safe/x"}) {
        CAPTURE(route.toStdString());
        FaultyServer it(foreign);
        it.gateway.requestId = "second";
        const auto result = it.gateway.sendRequest(route);
        CHECK(it.laterRequests == 1);
        CHECK(result.head.status == 200);
        CHECK(result.body == "answer");
    }
}

TEST_CASE("a success without an id is not taken for the answer")
{
    FaultyServer it([](const QByteArray &, const QByteArray &) {
        return answerText("200", {}, "foreign");
    });
    it.gateway.requestId = "second";
    CHECK(it.gateway.sendRequest("/once/x").body == "answer");
}

TEST_CASE("a request whose id the connection has carried before goes over another connection")
{
    FaultyServer it([](const QByteArray &first, const QByteArray &) {
        return answerText("503", first, "refused");
    });
    it.gateway.requestId = "first";
    CHECK(it.gateway.sendRequest("/once/x").head.status == 200);
    CHECK(it.laterRequests == 0);
}

TEST_CASE("a request without an id goes over a connection of its own")
{
    FaultyServer it([](const QByteArray &, const QByteArray &) {
        return answerText("503", {}, "refused");
    });
    it.gateway.requestId = "";
    CHECK(it.gateway.sendRequest("/once/x").head.status == 200);
    CHECK(it.laterRequests == 0);
}
