#include "gatewayfixture.h"

#include "eventloop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr int Servers = 6;
constexpr auto RestartTime = 300ms;
constexpr auto SettleTime = 4000ms; // after the third crash, within which the request must be kept away
constexpr int AllowedArrivals = 3; // after that time
constexpr qsizetype LargeBody = 600 * 1024; // forwarded as it arrives

/// A gateway before servers, each of which ends under a request that the test calls bad, and comes back under another id and address after a while.
class CrashingServers
{
    QObject m_context;
    std::map<std::string, std::unique_ptr<net::HttpServer>> m_servers;
    std::vector<std::shared_ptr<net::Exchange>> m_running; ///< requests that get no response
    int m_started = 0;

public:
    explicit CrashingServers(std::function<bool(const net::Exchange &request)> isBad, std::uint64_t memoryBytes = 256 * 1024 * 1024)
        : m_isBad(std::move(isBad))
        , gateway(
              [](const std::shared_ptr<net::Exchange> &, int) {
              },
              true,
              [this, memoryBytes](GatewayFixture &it, GatewayOptions &options) {
                  options.memoryBytes = memoryBytes;
                  options.retries = {.ratio = 0.2, .window = 10s};
                  store = &it.store;
                  store->put("servers", "a", std::nullopt);
                  store->put("servers", "b", std::nullopt);
                  for (int n = 0; n < Servers; ++n) {
                      startServer();
                  }
              })
    {
    }

    /// Status of the response; 0 when it was cut.
    int send(const QByteArray &target, const QByteArray &body, const QByteArray &key = "key")
    {
        gateway.requestBody = body;
        const auto result = gateway.sendRequest(target, "POST", key);
        return result.failure == net::HttpFailure::None ? result.head.status : 0;
    }

    void killServers(int count)
    {
        for (int n = 0; n < count && !m_servers.empty(); ++n) {
            crash(m_servers.begin()->first);
        }
    }

    /// Bad requests come again and again beside sound ones, until some servers have ended.
    void crashServers(const QByteArray &target, const QByteArray &body)
    {
        for (int n = 0; n < 12 && crashes < 3; ++n) {
            send(target, body);
            send("/safe/sound", "sound");
            runFor(150ms);
        }
        REQUIRE(crashes >= 3);
        runFor(SettleTime);
        badArrivals = 0;
    }

    FakeStore *store = nullptr;
    int crashes = 0;
    int badArrivals = 0;
    int status = 200; ///< of responses to sound requests

private:
    std::function<bool(const net::Exchange &request)> m_isBad;

public:
    GatewayFixture gateway;

private:
    void startServer()
    {
        const std::string id = "server-" + std::to_string(++m_started);
        net::HttpServerOptions options;
        options.maxBodyBytes = 4 * LargeBody;
        m_servers[id] = std::make_unique<net::HttpServer>(options, [this, id](const std::shared_ptr<net::Exchange> &exchange) {
            respond(id, exchange);
        });
        store->put("servers", id, QByteArray::fromStdString(net::toText(m_servers[id]->listenOn({QHostAddress(QHostAddress::LocalHost), 0}))));
    }

    void respond(const std::string &id, const std::shared_ptr<net::Exchange> &exchange)
    {
        if (!m_isBad(*exchange)) {
            exchange->respond(status, {{"Id", "request-1"}, {"Seal", "s"}}, "id: 1\ndata: a\n\n");
            return;
        }
        ++badArrivals;
        m_running.push_back(exchange);
        QTimer::singleShot(20ms, &m_context, [this, id] {
            crash(id);
        });
    }

    void crash(const std::string &id)
    {
        if (m_servers.erase(id) == 0) {
            return;
        }
        ++crashes;
        QTimer::singleShot(RestartTime, &m_context, [this, id] {
            store->put("servers", id, std::nullopt);
            startServer();
        });
    }
};

bool isBadPost(const net::Exchange &request)
{
    return request.head().target == "/safe/bad" && request.body() == "bad body" && request.header("Organisation") == "kattila";
}

} // namespace

TEST_CASE("a request under which plain servers end no longer reaches them, and those that differ in path, body or caller are served")
{
    // Guards against one request that comes again and again and ends server after server (BUDGET).
    CrashingServers it(isBadPost);
    it.crashServers("/safe/bad", "bad body");
    for (int n = 0; n < 10; ++n) {
        CHECK(it.send("/safe/bad", "bad body") == 503);
        CHECK(it.send("/safe/bad", "another body") == 200);
        CHECK(it.send("/safe/other", "bad body") == 200);
        CHECK(it.send("/safe/bad?page=2", "bad body") == 200);
        CHECK(it.send("/safe/bad", "bad body", "other key") == 200);
        runFor(50ms);
    }
    CHECK(it.badArrivals <= AllowedArrivals);
}

TEST_CASE("a stream that nothing but its own last part marks is kept away like any other request")
{
    // Guards against a stream under which engines end and whose parts no other request shares (BUDGET).
    CrashingServers it([](const net::Exchange &request) {
        return request.header("Parts") == "shared,own-bad";
    });
    it.gateway.extraHeaders = {{"Model", "m"}, {"Parts", "shared,own-bad"}};
    for (int n = 0; n < 12 && it.crashes < 3; ++n) {
        it.gateway.extraHeaders = {{"Model", "m"}, {"Parts", "shared,own-bad"}};
        it.send("/stream/", "");
        it.gateway.extraHeaders = {{"Model", "m"}, {"Parts", "shared,own-" + QByteArray::number(n)}};
        it.send("/stream/", "");
        runFor(150ms);
    }
    REQUIRE(it.crashes >= 3);
    runFor(SettleTime);
    it.badArrivals = 0;
    int served = 0;
    for (int n = 0; n < 10; ++n) {
        it.gateway.extraHeaders = {{"Model", "m"}, {"Parts", "shared,own-bad"}};
        it.send("/stream/", "");
        it.gateway.extraHeaders = {{"Model", "m"}, {"Parts", "shared,own-sound-" + QByteArray::number(n)}};
        served += it.send("/stream/", "") == 200 ? 1 : 0;
    }
    CHECK(it.badArrivals <= AllowedArrivals);
    CHECK(served == 10);
}

TEST_CASE("a large request under which servers end is kept away, and another large body at the same path is served")
{
    // Guards against a body whose first part reaches a server before the last is read (BUDGET).
    const QByteArray start(LargeBody, 'x');
    CrashingServers it([](const net::Exchange &request) {
        return request.body().endsWith("bad");
    });
    it.crashServers("/once/large", start + "bad");
    for (int n = 0; n < 5; ++n) {
        CHECK(it.send("/once/large", start + "bad") == 503);
        CHECK(it.send("/once/large", start + "fine") == 200);
    }
    CHECK(it.badArrivals <= AllowedArrivals);
}

TEST_CASE("a sound request that is polled through herds of crashes is served")
{
    // Guards against an outage for a request that is lost in each herd (LOST).
    CrashingServers it([](const net::Exchange &) {
        return false;
    });
    for (int herd = 0; herd < 7; ++herd) {
        for (int n = 0; n < 4; ++n) {
            it.send("/safe/poll", "poll");
            it.send("/safe/" + QByteArray::number(n), "other");
            runFor(100ms);
        }
        QTimer::singleShot(1ms, &it.gateway.client, [&] {
            it.killServers(2);
        });
        it.send("/safe/poll", "poll");
    }
    runFor(1s);
    for (int n = 0; n < 10; ++n) {
        CHECK(it.send("/safe/poll", "poll") == 200);
    }
}

TEST_CASE("a request that its servers answer with a failure is not kept away for crashes between")
{
    // Guards against an outage for a sound request that never succeeds: a server that reports a failure has outlived it (LOST).
    bool crashes = false;
    CrashingServers it([&crashes](const net::Exchange &request) {
        return crashes && request.head().target == "/once/failing";
    });
    for (int n = 0; n < 4; ++n) {
        crashes = true;
        it.send("/once/failing", "body");
        crashes = false;
        it.status = 500;
        runFor(50ms);
        CHECK(it.send("/once/failing", "body") == 500);
        it.status = 200;
        CHECK(it.send("/safe/sound", "sound") == 200);
        runFor(400ms);
    }
    runFor(1s);
    it.status = 500;
    CHECK(it.send("/once/failing", "body") == 500);
}

TEST_CASE("bodies that are read before they are sent take a bounded share of the memory, and what exceeds it is refused at once")
{
    // Guards against uploads that exhaust the memory while a request at their path is kept away.
    const QByteArray start(LargeBody, 'x');
    CrashingServers it(
        [](const net::Exchange &request) {
            return request.body().endsWith("bad");
        },
        8 * 1024 * 1024);
    it.crashServers("/once/large", start + "bad");
    const auto begin = monotonicNow();
    CHECK(it.send("/once/large", start + "fine") == 503);
    CHECK(monotonicNow() - begin < 500ms);
    CHECK(it.gateway.lastLine("request")["reason"].get<std::string>().find("too many bodies") == 0);
    CHECK(it.send("/once/other", start + "fine") == 200);
}
