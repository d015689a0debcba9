#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

#include <map>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr int Servers = 4;
constexpr auto RestartTime = 300ms;
constexpr auto SettleTime = 4000ms; // after the fifth crash, within which the part must be kept away
constexpr int AllowedCrashes = 3; // after that time

const QByteArray Response = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

/// A gateway before engines, each of which ends under a request with the part "bad" and comes back under another id and address after a while.
class CrashingEngines
{
    // The gateway's preparation starts engines, so these come first.
    QObject m_context;
    std::map<std::string, std::unique_ptr<RawServer>> m_engines;
    int m_started = 0;
    int m_requests = 0;

public:
    CrashingEngines()
        : gateway(
            [](const std::shared_ptr<net::Exchange> &, int) {
            },
            true,
            [this](GatewayFixture &it, GatewayOptions &options) {
                options.retries = {.ratio = 0.2, .window = 10s};
                store = &it.store;
                store->put("servers", "a", std::nullopt);
                store->put("servers", "b", std::nullopt);
                for (int n = 0; n < Servers; ++n) {
                    startEngine();
                }
            })
    {
    }

    /// Status of a request on a route with these prompt parts; 0 when its stream was cut.
    int send(const QByteArray &parts, const QByteArray &target = "/brief/")
    {
        gateway.extraHeaders = {{"Model", "m"}, {"Parts", parts + ",own-" + QByteArray::number(++m_requests)}};
        const auto result = gateway.sendRequest(target);
        return result.failure == net::HttpFailure::None ? result.head.status : 0;
    }

    FakeStore *store = nullptr;
    int crashes = 0;
    int badArrivals = 0;
    GatewayFixture gateway;

private:
    void startEngine()
    {
        const std::string id = "engine-" + std::to_string(++m_started);
        m_engines[id] = std::make_unique<RawServer>([this, id](QTcpSocket *socket, const QByteArray &request) {
            if (!request.contains("bad")) {
                socket->write(Response);
                return;
            }
            ++badArrivals;
            QTimer::singleShot(20ms, &m_context, [this, id] {
                crash(id);
            });
        });
        store->put("servers", id, m_engines[id]->address());
    }

    void crash(const std::string &id)
    {
        if (m_engines.erase(id) == 0) {
            return;
        }
        ++crashes;
        QTimer::singleShot(RestartTime, &m_context, [this, id] {
            store->put("servers", id, std::nullopt);
            startEngine();
        });
    }
};

} // namespace

TEST_CASE("requests with a prompt part under which engines crash no longer reach engines, and sound requests that share all else are served")
{
    // Guards against one part of a prompt that ends engine after engine, from new requests or repeated ones (BUDGET).
    CrashingEngines it;
    while (it.crashes < 5 && it.badArrivals < 8) {
        it.send("shared,bad");
        it.send("shared,sound");
        runFor(150ms);
    }
    runFor(SettleTime);
    const int before = it.badArrivals;
    int served = 0;
    for (int n = 0; n < 12; ++n) {
        it.send("shared,bad", n % 2 == 0 ? "/brief/" : "/stream/");
        served += it.send("shared,sound") == 200 ? 1 : 0;
        runFor(50ms);
    }
    CHECK(it.badArrivals - before <= AllowedCrashes);
    CHECK(served == 12);
}

namespace {

/// A gateway before one engine at a time, which answers sound requests and does with bad ones what the test says.
class OneEngine
{
    int m_started = 0;

public:
    using Responder = std::function<void(QTcpSocket *)>;

    explicit OneEngine(Responder onBad)
        : m_onBad(std::move(onBad))
        , gateway(
              [](const std::shared_ptr<net::Exchange> &, int) {
              },
              true,
              [this](GatewayFixture &it, GatewayOptions &options) {
                  options.retries = {.ratio = 5, .window = 10s};
                  store = &it.store;
                  store->put("servers", "a", std::nullopt);
                  store->put("servers", "b", std::nullopt);
                  startEngine();
              })
    {
    }

    void startEngine(quint16 port = 0)
    {
        id = "engine-" + std::to_string(++m_started);
        engine = std::make_unique<RawServer>(
            [this](QTcpSocket *socket, const QByteArray &request) {
                if (request.contains("bad")) {
                    m_onBad(socket);
                } else {
                    socket->write(Response);
                }
            },
            port);
        store->put("servers", id, engine->address());
    }

    net::HttpResult send(const QByteArray &parts, const QByteArray &target = "/brief/")
    {
        gateway.extraHeaders = {{"Model", "m"}, {"Parts", parts + ",own"}};
        return gateway.sendRequest(target);
    }

    bool keepsAway() const
    {
        return gateway.hasLogged("prompt_part");
    }

private:
    Responder m_onBad;

public:
    FakeStore *store = nullptr;
    std::string id;
    std::unique_ptr<RawServer> engine;
    GatewayFixture gateway;
};

} // namespace

TEST_CASE("a part of requests that end with a leaving server is not kept away")
{
    // Guards against an outage for sound parts while servers are replaced (LOST).
    OneEngine *running = nullptr;
    OneEngine it([&running](QTcpSocket *socket) {
        running->store->put("servers", running->id, std::nullopt);
        QTimer::singleShot(100ms, socket, [socket] {
            socket->abort();
        });
    });
    running = &it;
    for (int n = 0; n < 5; ++n) {
        it.send("shared,bad");
        it.startEngine();
        CHECK(runUntil([&] {
            return it.send("shared,sound").head.status == 200;
        }));
        runFor(50ms);
    }
    runFor(700ms);
    CHECK_FALSE(it.keepsAway());
}

TEST_CASE("a part of streams that break after they went on for a while is not kept away")
{
    // Guards against an outage for sound parts: a part that crashes its server does so when the server begins to write (LOST).
    OneEngine *running = nullptr;
    OneEngine it([&running](QTcpSocket *socket) {
        socket->write("HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\n\r\nid: 1\ndata: a\n\n");
        QTimer::singleShot(600ms, &running->gateway.client, [&running] {
            running->engine.reset();
        });
    });
    running = &it;
    for (int n = 0; n < 5; ++n) {
        it.send("shared,bad");
        it.startEngine();
        CHECK(runUntil([&] {
            return it.send("shared,sound").head.status == 200;
        }));
    }
    runFor(700ms);
    CHECK_FALSE(it.keepsAway());
}

TEST_CASE("a request under which its server ended is not repeated once its part is suspect")
{
    // Guards against repeats that end one more server each (BUDGET).
    CrashingEngines it;
    for (int n = 0; n < 2; ++n) {
        it.send("shared,sound");
        it.send("shared,bad");
        runFor(50ms);
    }
    REQUIRE(it.badArrivals == 2);
    for (int n = 0; n < 8; ++n) {
        it.send("shared,sound", "/stream/"); // earns retries
    }
    it.send("shared,bad", "/stream/");
    CHECK(it.badArrivals == 3);
}

TEST_CASE("another server at the address of one that ended is no sign of life")
{
    // Guards against forgetting crashes whose address is taken over at once (BUDGET).
    OneEngine *running = nullptr;
    OneEngine it([&running](QTcpSocket *) {
        QTimer::singleShot(10ms, &running->gateway.client, [&running] {
            running->engine.reset();
        });
    });
    running = &it;
    for (int n = 0; n < 3; ++n) {
        const quint16 port = it.engine->port();
        it.send("shared,bad");
        RawServer other(
            [](QTcpSocket *socket, const QByteArray &) {
                socket->write("HTTP/1.1 421 Misdirected Request\r\nId: request-1\r\nContent-Length: 0\r\n\r\n");
            },
            port);
        it.send("shared,another"); // refused by the server that has the address now
        it.startEngine();
        CHECK(runUntil([&] {
            return it.send("shared,sound").head.status == 200;
        }));
        runFor(100ms);
    }
    runFor(700ms);
    CHECK(it.keepsAway());
}
