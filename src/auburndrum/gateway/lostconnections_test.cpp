#include "gatewayfixture.h"

#include "auburndrum/gateway/relaymessages.h"
#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

#include <QPointer>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const QByteArray Head = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
const QByteArray FirstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const QByteArray LastEvent = "id: 3\ndata: c\n\n";

QByteArray chunk(const QByteArray &body)
{
    return QByteArray::number(body.size(), 16) + "\r\n" + body + "\r\n";
}

/// A backend server whose connections can be cut off: open ones end, new ones end as soon as they are accepted.
class CuttableServer
{
public:
    explicit CuttableServer(const RawServer::Responder &respond)
    {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this, respond] {
            QTcpSocket *socket = m_server.nextPendingConnection();
            if (m_isCut) {
                socket->abort();
                return;
            }
            m_sockets.emplace_back(socket);
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, respond] {
                const QByteArray request = socket->readAll();
                if (request.contains("\r\n\r\n")) {
                    ++m_requests;
                    respond(socket, request);
                }
            });
        });
    }

    void setCut(bool isCut)
    {
        m_isCut = isCut;
        for (const auto &it : m_isCut ? std::exchange(m_sockets, {}) : decltype(m_sockets)()) {
            if (it) {
                it->abort();
            }
        }
    }
    QByteArray address() const
    {
        return QByteArray::fromStdString(net::toText({m_server.serverAddress(), m_server.serverPort()}));
    }
    int requests() const
    {
        return m_requests;
    }

private:
    QTcpServer m_server;
    std::vector<QPointer<QTcpSocket>> m_sockets;
    bool m_isCut = false;
    int m_requests = 0;
};

constexpr std::size_t Servers = 6;

/// A VM before servers that each bring the first events of a stream, and another VM that goes on with what is passed on to it.
class CuttableFleet
{
public:
    explicit CuttableFleet(const RawServer::Responder &respond)
        : other([this](QTcpSocket *socket, const QByteArray &request) {
            if (!request.contains("Relayed-By: ")) { // news between VMs
                socket->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            ++passedOn;
            socket->write(Head + "Relayed-Server: z\r\nRelayed-Service: service\r\nRelayed-Software: v1\r\n\r\n" + chunk(LastEvent) + "0\r\n\r\n");
        })
    {
        for (std::size_t n = 0; n < Servers; ++n) {
            servers.push_back(std::make_unique<CuttableServer>(respond));
        }
        vm = std::make_unique<GatewayFixture>(
            [](const std::shared_ptr<net::Exchange> &, int) {
            },
            true,
            [this](GatewayFixture &it, GatewayOptions &options) {
                options.retries = {.ratio = 4, .window = 10s};
                options.entryTopic = "entries";
                options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
                it.store.put("entries", "other", QByteArray::fromStdString(toJson(decision::EntryVm{"other", other.address().toStdString(), "zone", 10})));
                for (std::size_t n = 0; n < Servers; ++n) {
                    it.store.put("servers", serverId(n), servers[n]->address() + " 1 v1");
                }
            });
        REQUIRE(runUntil([this] {
            return vm->hasLogged("entry_vms");
        }));
    }

    static std::string serverId(std::size_t n)
    {
        return std::string(1, static_cast<char>('a' + n));
    }
    void setCut(bool isCut)
    {
        for (auto &it : servers) {
            it->setCut(isCut);
        }
    }
    /// Cuts the VM off once the events that were written have reached it.
    void cutLater()
    {
        QTimer::singleShot(50ms, &vm->client, [this] {
            setCut(true);
        });
    }
    int requests() const
    {
        int n = 0;
        for (const auto &it : servers) {
            n += it->requests();
        }
        return n;
    }

    int passedOn = 0;
    RawServer other;
    std::vector<std::unique_ptr<CuttableServer>> servers;
    std::unique_ptr<GatewayFixture> vm;
};

} // namespace

// Guards against a stream that is broken off though another VM has a path: a connection that ends with the VM's own path counted as a server that the stream
// was sent to, and a second one over the same path used its servers up (LOST).
TEST_CASE("a stream whose VM loses its path goes on through another VM, and no server counts against its limit")
{
    CuttableFleet it([&it](QTcpSocket *socket, const QByteArray &) {
        socket->write(Head + "\r\n" + chunk(FirstEvents));
        it.cutLater();
    });
    const auto result = it.vm->sendRequest("/stream/");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
    CHECK(it.passedOn == 1);
    CHECK(it.requests() == 1);
    const nlohmann::json &line = it.vm->lastLine("request");
    CHECK(line.value("path_losses", 0) == 1); // the log tells what the loss was put down to
}

// Guards against sound streams that are not sent on: the parts that their prompts share were suspected of crashing the servers that a VM without a path lost
// (LOST).
TEST_CASE("parts of prompts are not suspected of crashes because their VM loses its path again and again")
{
    CuttableFleet it([&it](QTcpSocket *socket, const QByteArray &request) {
        if (request.startsWith("POST /safe/")) {
            socket->write("HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone");
            return;
        }
        socket->write(Head + "\r\n" + chunk(FirstEvents));
        it.cutLater();
    });
    for (int round = 0; round < 4; ++round) {
        CAPTURE(round);
        it.vm->extraHeaders = {{"Model", "m"}, {"Parts", "shared,own"}};
        const auto result = it.vm->sendRequest("/stream/");
        CHECK(result.failure == net::HttpFailure::None);
        CHECK(result.body == FirstEvents + LastEvent);
        const nlohmann::json attempts = it.vm->lastLine("request")["attempts"];
        CHECK(attempts.size() == 2);
        it.setCut(false);
        it.vm->store.put("servers", attempts.at(0)["server"].get<std::string>(), std::nullopt); // the next stream meets another server
        it.vm->extraHeaders.clear();
        const Instant end = monotonicNow() + 5s;
        bool hasPath = false;
        while (!hasPath && monotonicNow() < end) {
            runFor(20ms);
            it.vm->sendRequest("/safe/");
            hasPath = !it.vm->lastLine("request")["attempts"].back().value("passed_on", false);
        }
        REQUIRE(hasPath);
    }
}

// Guards against a request that ends one server after the other and is sent on all the same, since its losses look like a cut (BUDGET).
TEST_CASE("a request whose servers end under it is sent to as many as its route allows and not passed on")
{
    CuttableFleet it([](QTcpSocket *socket, const QByteArray &) {
        socket->abort();
    });
    const auto result = it.vm->sendRequest("/stream/");
    CHECK(result.head.status == 502);
    CHECK(it.requests() == 2);
    CHECK(it.passedOn == 0);
    CHECK_FALSE(it.vm->hasLogged("server_path"));
}

// Guards against a request that may run once only and is sent again because its connection ended with the VM's path (TWICE).
TEST_CASE("a request that may run once only is not sent again when its VM loses its path")
{
    CuttableFleet it([&it](QTcpSocket *, const QByteArray &) {
        it.cutLater();
    });
    const auto result = it.vm->sendRequest("/once/");
    CHECK(result.head.status == 502);
    CHECK(it.requests() == 1);
    CHECK(it.passedOn == 0);
}
