#include "gatewayfixture.h"

#include "auburndrum/gateway/exchangemessages.h"
#include "auburndrum/gateway/relaymessages.h"
#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

#include <QPointer>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

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

/// What happens to new connections in a cut; the open ones end.
enum class NewConnections {
    Ended, ///< as soon as they are accepted
    Hanging, ///< neither accepted nor refused; the open ones are reset
};

/// A backend server whose connections can be cut off.
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

    ~CuttableServer()
    {
        closeFillers();
    }

    CuttableServer(const CuttableServer &) = delete;
    CuttableServer &operator=(const CuttableServer &) = delete;

    void setCut(bool isCut, NewConnections newConnections = NewConnections::Ended)
    {
        const bool isHanging = isCut && newConnections == NewConnections::Hanging;
        setHanging(isHanging);
        m_isCut = isCut;
        for (const auto &it : m_isCut ? std::exchange(m_sockets, {}) : decltype(m_sockets)()) {
            if (!it) {
                continue;
            }
            if (isHanging) {
                const linger reset{1, 0};
                ::setsockopt(static_cast<int>(it->socketDescriptor()), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            }
            it->abort();
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
    void setHanging(bool isHanging)
    {
        const auto descriptor = static_cast<int>(m_server.socketDescriptor());
        if (isHanging == !m_fillers.empty()) {
            return;
        }
        if (!isHanging) {
            closeFillers();
            REQUIRE(::listen(descriptor, m_server.listenBacklogSize()) == 0);
            m_server.resumeAccepting();
            return;
        }
        m_server.pauseAccepting();
        REQUIRE(::listen(descriptor, 0) == 0);
        for (int n = 0; n < 2; ++n) { // a full queue of connections drops the packets that open further ones
            fillQueue();
        }
    }

    void fillQueue()
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        REQUIRE(descriptor >= 0);
        m_fillers.push_back(descriptor);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_server.serverPort());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isOpening = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 || errno == EINPROGRESS;
        REQUIRE(isOpening);
    }

    void closeFillers()
    {
        for (const int it : std::exchange(m_fillers, {})) {
            ::close(it);
        }
    }

    QTcpServer m_server;
    std::vector<QPointer<QTcpSocket>> m_sockets;
    std::vector<int> m_fillers; ///< connections that keep the queue full
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
                answerNews(socket, request);
                return;
            }
            ++passedOn;
            lastPassedOn = request;
            if (!otherHasPath) {
                socket->write("HTTP/1.1 503 Service Unavailable\r\nRelayed-Vm: other\r\nRelayed-No-Path: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
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
                options.retries = {.ratio = 4, .window = std::chrono::seconds(10)};
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
            it->setCut(isCut, newConnections);
        }
    }
    /// Cuts the VM off once the events that were written have reached it.
    void cutLater()
    {
        QTimer::singleShot(std::chrono::milliseconds(50), &vm->client, [this] {
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

    /// Ends the cut and waits until the VM has found its path again.
    void restorePath()
    {
        setCut(false);
        vm->extraHeaders.clear();
        const Instant end = monotonicNow() + std::chrono::seconds(5);
        bool hasPath = false;
        while (!hasPath && monotonicNow() < end) {
            runFor(std::chrono::milliseconds(20));
            vm->sendRequest("/safe/");
            hasPath = !vm->lastLine("request")["attempts"].back().value("passed_on", false);
        }
        REQUIRE(hasPath);
    }

    NewConnections newConnections = NewConnections::Ended; ///< in a cut
    bool otherHasPath = true;
    bool otherTakesNews = false; ///< otherwise it doesn't know such calls
    int passedOn = 0;
    QByteArray lastPassedOn;
    std::vector<decision::CrashReport> reports; ///< of crashes, in the last news that the other VM took
    RawServer other;
    std::vector<std::unique_ptr<CuttableServer>> servers;
    std::unique_ptr<GatewayFixture> vm;

private:
    void answerNews(QTcpSocket *socket, const QByteArray &request)
    {
        if (!otherTakesNews) {
            socket->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const nlohmann::json call = nlohmann::json::parse(request.mid(request.indexOf("\r\n\r\n") + 4).toStdString());
        const auto message = exchangeMessageFrom(call.at("params").dump(), suspendAwareNow());
        REQUIRE(message);
        reports = message.value().evidence.crashes;
        ExchangeMessage own;
        own.from = {"other", other.address().toStdString(), "zone", 10};
        const QByteArray body = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":" + QByteArray::fromStdString(toJson(own, suspendAwareNow())) + "}";
        socket->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    }
};

} // namespace

// Guards against a stream that is broken off in a cut that is found late, since new connections hang: its limit counts the server that it lost with the path
// (LOST).
TEST_CASE("a stream whose VM loses its path while new connections hang goes on through another VM, and no server counts against its limit")
{
    CuttableFleet it([&it](QTcpSocket *socket, const QByteArray &) {
        socket->write(Head + "\r\n" + chunk(FirstEvents));
        it.cutLater();
    });
    it.newConnections = NewConnections::Hanging;
    const auto result = it.vm->sendRequest("/stream/");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
    CHECK(it.requests() == 1);
    CHECK(it.passedOn == 1);
    CHECK(it.lastPassedOn.contains("Relayed-Deliveries: 0\r\n"));
    const nlohmann::json &line = it.vm->lastLine("request");
    CHECK(line.value("path_losses", 0) == 1);
    REQUIRE(line["attempts"].size() == 3); // sent again once before the cut is found
    CHECK(line["attempts"].at(1)["result"] == net::toText(net::HttpFailure::ConnectTimeout));
}

// Guards against a stream that ends with the first server that breaks it off after a cut in which new connections hang: its limit was used up by the server
// that it lost with the path (LOST).
TEST_CASE("a stream goes on at two servers after a cut in which new connections hang, though its route allows two")
{
    const QByteArray thirdEvent = "id: 3\ndata: c\n\n";
    const QByteArray fourthEvent = "id: 4\ndata: d\n\n";
    QTimer pathReturn; // once the cut is found
    CuttableFleet it([&](QTcpSocket *socket, const QByteArray &) {
        switch (it.requests()) {
        case 1:
            socket->write(Head + "\r\n" + chunk(FirstEvents));
            it.cutLater();
            pathReturn.start(5ms);
            break;
        case 2:
            socket->write(Head + "\r\n" + chunk(thirdEvent));
            QTimer::singleShot(50ms, socket, [socket] {
                socket->abort();
            });
            break;
        default:
            socket->write(Head + "\r\n" + chunk(fourthEvent) + "0\r\n\r\n");
        }
    });
    it.newConnections = NewConnections::Hanging;
    it.otherHasPath = false;
    QObject::connect(&pathReturn, &QTimer::timeout, &pathReturn, [&] {
        if (it.vm->hasLogged("server_path")) {
            pathReturn.stop();
            it.setCut(false);
        }
    });
    const auto result = it.vm->sendRequest("/gapless/");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + thirdEvent + fourthEvent);
    CHECK(it.requests() == 3);
    const nlohmann::json &line = it.vm->lastLine("request");
    CHECK(line.value("path_losses", 0) == 1); // the second loss is the server's
}

// Guards against sound streams that are not sent on, here or by other VMs, since the reports of crashes from before a cut in which new connections hang stay
// (LOST).
TEST_CASE("reports of crashes are withdrawn when their VM loses its path again and again while new connections hang")
{
    CuttableFleet it([&it](QTcpSocket *socket, const QByteArray &request) {
        if (request.startsWith("POST /safe/")) {
            socket->write("HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone");
            return;
        }
        socket->write(Head + "\r\n" + chunk(FirstEvents));
        it.cutLater();
    });
    it.newConnections = NewConnections::Hanging;
    it.otherTakesNews = true;
    for (int round = 0; round < 4; ++round) {
        CAPTURE(round);
        it.vm->extraHeaders = {{"Model", "m"}, {"Parts", "shared,own"}};
        const auto result = it.vm->sendRequest("/stream/");
        CHECK(result.failure == net::HttpFailure::None);
        CHECK(result.body == FirstEvents + LastEvent);
        const nlohmann::json attempts = it.vm->lastLine("request")["attempts"];
        it.vm->store.put("servers", attempts.at(0)["server"].get<std::string>(), std::nullopt); // the next stream meets another server
        it.restorePath();
    }
    // The reports of all four, as the other VM has them in the end.
    CHECK(runUntil(
        [&it] {
            return it.reports.size() == 4 && std::all_of(it.reports.begin(), it.reports.end(), [](const decision::CrashReport &report) {
                       return report.isRefuted;
                   });
        },
        2s));
    CHECK_FALSE(it.vm->hasLogged("prompt_part"));
}
