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
