#include "gatewayfixture.h"

#include "auburndrum/gateway/relaymessages.h"
#include "deadaddress.h"
#include "eventloop.h"
#include "rawcaller.h"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// Guards against a server that runs a request with a part of its body: a long body is passed on as it arrives and isn't kept, and a further VM or server was
// sent what was left of it (UNASKED).

namespace {

constexpr qsizetype FirstPart = 256 * 1024 + 1; // passed on once all of it has arrived
constexpr qsizetype WholeBody = 1024 * 1024;
const QByteArray NoPath = "HTTP/1.1 503 Service Unavailable\r\nRelayed-Vm: near\r\nRelayed-No-Path: 1\r\nContent-Length: 0\r\n\r\n";
const QByteArray Unknown = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const QByteArray Served = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nRelayed-Server: a\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

/// Another entry VM that keeps what it receives of a request, and answers when it is told to.
class OtherVm
{
public:
    OtherVm()
    {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, [this] {
            QTcpSocket *socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                const QByteArray bytes = socket->readAll();
                if (bytes.startsWith("POST /rpc ")) {
                    return; // a call between VMs
                }
                m_socket = socket;
                m_received += bytes;
            });
        });
    }

    net::Address address() const
    {
        return {m_server.serverAddress(), m_server.serverPort()};
    }
    /// Bytes of bodies, with their chunks' framing.
    qsizetype bodyBytes() const
    {
        const auto end = m_received.indexOf("\r\n\r\n");
        return end < 0 ? 0 : m_received.size() - end - 4;
    }
    bool isAsked() const
    {
        return !m_received.isEmpty();
    }
    void answer(const QByteArray &bytes)
    {
        m_socket->write(bytes);
    }

private:
    QTcpServer m_server;
    QTcpSocket *m_socket = nullptr;
    QByteArray m_received;
};

/// A VM without a path to any server, which passes requests on to a near VM and then to a far one.
class CutVm
{
public:
    explicit CutVm(const net::Address &near, const net::Address &far)
        : gateway(
            [](const std::shared_ptr<net::Exchange> &exchange, int) {
                exchange->respond(200, {{"Id", "request-1"}, {"Seal", "s"}}, "done");
            },
            true,
            [&](GatewayFixture &it, GatewayOptions &options) {
                it.limits.maxBodyBytes = 2 * WholeBody;
                options.entryTopic = "entries";
                options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
                options.regionOfZone = {{"zone", "region"}, {"far zone", "far region"}};
                it.store.put("servers", "a", "127.0.0.1:1"); // nothing listens there
                it.store.put("servers", "b", std::nullopt);
                addVm(it, {"near", net::toText(near), "zone", 100});
                addVm(it, {"far", net::toText(far), "far zone", 100});
            })
        , caller(gateway.callerAddress)
    {
        REQUIRE(runUntil([this] {
            return gateway.hasLogged("entry_vms");
        }));
    }

    /// Sends all of these bytes, at the speed at which the gateway reads them.
    void send(QByteArray bytes)
    {
        REQUIRE(runUntil([&] {
            bytes.remove(0, caller.send(bytes));
            return bytes.isEmpty();
        }));
    }
    QByteArray readAnswer()
    {
        QByteArray answer;
        REQUIRE(runUntil([&] {
            answer += caller.readAll();
            return answer.contains("\r\n\r\n");
        }));
        return answer;
    }

    GatewayFixture gateway;
    RawCaller caller;

private:
    static void addVm(GatewayFixture &fixture, const decision::EntryVm &vm)
    {
        fixture.store.put("entries", vm.name, QByteArray::fromStdString(toJson(vm)));
    }
};

/// A request whose body comes in two parts, with its length or in chunks.
struct LongRequest
{
    QByteArray first;
    QByteArray rest;
};

LongRequest longRequest(const QByteArray &target, bool isChunked)
{
    const QByteArray first(FirstPart, 'f');
    const QByteArray rest(WholeBody - FirstPart, 'r');
    const QByteArray head = "POST " + target + " HTTP/1.1\r\nHost: host\r\nId: request-1\r\nKey: key\r\n";
    if (!isChunked) {
        return {head + "Content-Length: " + QByteArray::number(WholeBody) + "\r\n\r\n" + first, rest};
    }
    return {head + "Transfer-Encoding: chunked\r\n\r\n" + QByteArray::number(first.size(), 16) + "\r\n" + first + "\r\n",
            QByteArray::number(rest.size(), 16) + "\r\n" + rest + "\r\n0\r\n\r\n"};
}

/// Calls `check` for requests of each kind.
void forEachKind(const std::function<void(const LongRequest &)> &check)
{
    for (const QByteArray target : {"/once/x", "/safe/x", "/stream/x"}) {
        for (const bool isChunked : {false, true}) {
            CAPTURE(target.toStdString());
            CAPTURE(isChunked);
            check(longRequest(target, isChunked));
        }
    }
}

void checkRefusal(CutVm &cut)
{
    const QByteArray answer = cut.readAnswer();
    CHECK(answer.startsWith("HTTP/1.1 503 "));
    CHECK(answer.contains("Retry-After: "));
    CHECK(cut.gateway.lastLine("request")["outcome"] == "refused");
    CHECK(cut.gateway.lastLine("request")["body_repeatable"] == false);
}

} // namespace

TEST_CASE("a request of whose body a part went to a VM without a path is refused, and no further VM gets the rest of it")
{
    for (const QByteArray &nearAnswer : {NoPath, Unknown}) {
        for (const qsizetype bytes : {FirstPart + 1, WholeBody}) { // received before the near VM answers
            CAPTURE(nearAnswer.toStdString());
            CAPTURE(bytes);
            forEachKind([&](const LongRequest &request) {
                OtherVm near;
                OtherVm far;
                CutVm it(near.address(), far.address());
                it.send(request.first);
                REQUIRE(runUntil([&near] {
                    return near.isAsked();
                }));
                const auto sent = bytes == WholeBody ? request.rest : request.rest.left(request.rest.size() / 2);
                it.send(sent);
                REQUIRE(runUntil([&] {
                    return near.bodyBytes() >= bytes;
                }));
                near.answer(nearAnswer);
                checkRefusal(it);
                CHECK_FALSE(far.isAsked());
            });
        }
    }
}

TEST_CASE("a request goes on with its whole body although more of it arrived while a VM could not be reached")
{
    // Guards against a long request that is refused because a connection could not be opened: what arrived meanwhile counted as sent, and was dropped.
    for (const auto kind : {DeadAddress::Kind::Hanging, DeadAddress::Kind::Refusing}) {
        CAPTURE(static_cast<int>(kind));
        forEachKind([kind](const LongRequest &request) {
            OtherVm far;
            DeadAddress near(kind);
            CutVm it(*net::parseAddress(near.text().toStdString()), far.address());
            it.send(request.first + request.rest);
            REQUIRE(runUntil([&far] {
                return far.bodyBytes() >= WholeBody;
            }));
            far.answer(Served);
            CHECK(it.readAnswer().startsWith("HTTP/1.1 200 "));
        });
    }
}

TEST_CASE("a request of whose body a part went to a VM without a path is not sent to a server that can be reached again")
{
    for (const bool isChunked : {false, true}) {
        CAPTURE(isChunked);
        OtherVm near;
        OtherVm far;
        CutVm it(near.address(), far.address());
        const LongRequest request = longRequest("/slow/x", isChunked);
        it.send(request.first);
        REQUIRE(runUntil([&near] {
            return near.isAsked();
        }));
        it.send(request.rest);
        REQUIRE(runUntil([&near] {
            return near.bodyBytes() >= WholeBody;
        }));
        it.gateway.store.put("servers", "a", it.gateway.serverAddresses[0]);
        runFor(1500ms); // until the path to the servers is tried with a request
        near.answer(NoPath);
        checkRefusal(it);
        CHECK(it.gateway.receivedRequests.empty());
        CHECK_FALSE(far.isAsked());
    }
}

TEST_CASE("a request goes on to a further VM with its whole body while no part of it was passed on unkept")
{
    forEachKind([](const LongRequest &request) {
        OtherVm near;
        OtherVm far;
        CutVm it(near.address(), far.address());
        it.send(request.first);
        REQUIRE(runUntil([&near] {
            return near.isAsked();
        }));
        near.answer(NoPath);
        REQUIRE(runUntil([&far] {
            return far.isAsked();
        }));
        it.send(request.rest);
        REQUIRE(runUntil([&far] {
            return far.bodyBytes() >= WholeBody;
        }));
        far.answer(Served);
        CHECK(it.readAnswer().startsWith("HTTP/1.1 200 "));
    });
}
