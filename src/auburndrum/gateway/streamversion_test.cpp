#include "gatewayfixture.h"

#include "eventloop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const QByteArray FirstEvent = "id: 1\ndata: a\n\n";
const QByteArray LastEvent = "id: 2\ndata: b\n\n";

using Versions = std::map<std::string, std::string>; // of the software, by server

/// Several gateways before servers of software versions, which send the first event of a new stream and complete a stream that goes on.
class VersionedServers
{
public:
    explicit VersionedServers(const Versions &softwareVersions, int gateways = 1)
        : versions(softwareVersions)
        , fixture(
              [this](const std::shared_ptr<net::Exchange> &exchange, int) {
                  respond(exchange);
              },
              true,
              [&](GatewayFixture &it, GatewayOptions &options) {
                  options.retries = {.ratio = 2, .window = 10s};
                  options.entryTopic = "entries";
                  options.directoryDelay = 200ms; // until all gateways have registered
                  options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
                  it.store.put("servers", "a", std::nullopt);
                  it.store.put("servers", "b", std::nullopt);
                  for (const auto &[server, version] : softwareVersions) {
                      list(it.store, it.serverAddresses[0], server, version);
                  }
              })
    {
        for (int n = 1; n < gateways; ++n) {
            others.push_back(fixture.startGateway("vm-" + std::to_string(n)));
        }
        CHECK(runUntil([&] {
            return fixture.hasLogged("entry_vms", gateways);
        }));
    }

    ~VersionedServers()
    {
        runFor(20ms); // until the gateways have noticed that callers left
    }

    VersionedServers(const VersionedServers &) = delete;
    VersionedServers &operator=(const VersionedServers &) = delete;

    static void list(FakeStore &store, const QByteArray &address, const std::string &server, const std::string &version)
    {
        store.put("servers", server, address + " 1 " + QByteArray::fromStdString(version));
    }

    /// Begins a stream at a gateway, which its server breaks off after the first event; the first gateway is 0.
    void sendBrokenStream(int gateway, const QByteArray &attempt)
    {
        breaksOff = true;
        fixture.requestId = attempt;
        fixture.extraHeaders = {};
        fixture.sendRequestTo(addressOf(gateway), "/stream/");
        breaksOff = false;
    }

    /// Begins a stream at a gateway, and leaves it open, so that the gateway prefers another server for the next one.
    net::HttpCallHandle holdStream(int gateway, const QByteArray &attempt)
    {
        net::HttpCall call;
        call.peer = addressOf(gateway);
        call.method = "POST";
        call.target = "/stream/";
        call.host = "host";
        call.headers = {{"Id", attempt}, {"Key", "key"}};
        const auto hasEvent = std::make_shared<bool>(false);
        auto handle = fixture.client.start(call,
                                           {.onBody =
                                                [hasEvent](const QByteArray &) {
                                                    *hasEvent = true;
                                                },
                                            .onDone =
                                                [](const net::HttpResult &) {
                                                }});
        REQUIRE(runUntil([hasEvent] {
            return *hasEvent;
        }));
        return handle;
    }

    /// Begins a stream at a gateway, which its caller leaves after the first event; returns the version that began it.
    std::string beginStream(int gateway, const QByteArray &attempt)
    {
        holdStream(gateway, attempt).cancel();
        runFor(5ms);
        return versions.at(servers.at(attempt).front());
    }

    /// Takes a stream up; returns the status, 0 for a connection that was closed.
    int takeUp(int gateway, const QByteArray &attempt, const QByteArray &first)
    {
        fixture.requestId = attempt;
        fixture.extraHeaders = {{"Last", "1"}, {"Resumes", first}};
        const auto result = fixture.sendRequestTo(addressOf(gateway), "/stream/");
        retryAfter = result.head.header("Retry-After");
        return result.failure == net::HttpFailure::None ? result.head.status : 0;
    }

    net::Address addressOf(int gateway) const
    {
        return gateway == 0 ? fixture.callerAddress : others[static_cast<std::size_t>(gateway - 1)].callerAddress;
    }

    /// The versions of the servers that an attempt reached.
    std::set<std::string> versionsOf(const QByteArray &attempt) const
    {
        std::set<std::string> result;
        const auto it = servers.find(attempt);
        for (const std::string &server : it == servers.end() ? std::vector<std::string>() : it->second) {
            result.insert(versions.at(server));
        }
        return result;
    }

    Versions versions;
    std::map<QByteArray, std::vector<std::string>> servers; ///< that an attempt reached, by attempt
    QByteArray retryAfter;
    bool breaksOff = false; ///< a new stream after its first event
    GatewayFixture fixture;
    std::vector<GatewayFixture::Other> others;

private:
    void respond(const std::shared_ptr<net::Exchange> &exchange)
    {
        const QByteArray attempt = exchange->header("Attempt");
        servers[attempt].push_back(exchange->header("Server").toStdString());
        exchange->startStream(200, {{"Id", attempt}, {"Seal", "s"}});
        if (exchange->header("After").isEmpty()) {
            exchange->writeChunk(FirstEvent);
            if (breaksOff) {
                QTimer::singleShot(5ms, [exchange] {
                    exchange->abort();
                });
            }
            return;
        }
        exchange->writeChunk(LastEvent);
        exchange->finishStream();
    }
};

} // namespace

TEST_CASE("a stream that breaks goes on within its answer only at a server of the software version that began it")
{
    // Guards against streams that hold events of two software versions, since the VM resumed them at any server of the service (ORDER).
    for (int n = 0; n < 8; ++n) {
        VersionedServers it(Versions{{"a", "v1"}, {"b", "v1.1"}, {"c", "v1"}, {"d", "v1.1"}});
        const QByteArray attempt = "attempt-" + QByteArray::number(n);
        it.sendBrokenStream(0, attempt);
        CHECK(it.versionsOf(attempt).size() == 1);
        CHECK(it.servers[attempt].size() == 2);
    }
}

TEST_CASE("a stream that breaks is cut when no other server of its software version is left")
{
    // Guards against a stream that goes on at another software version for want of one that fits (ORDER).
    for (int n = 0; n < 4; ++n) {
        VersionedServers it(Versions{{"a", "v1"}, {"b", "v1.1"}});
        const QByteArray attempt = "attempt-" + QByteArray::number(n);
        it.sendBrokenStream(0, attempt);
        CHECK(it.servers[attempt].size() == 1);
        CHECK(it.fixture.lastLine("request")["outcome"] == "cut");
    }
}

TEST_CASE("a stream that its caller takes up at any VM goes on at the software version that began it")
{
    // Guards against take-ups that a VM sends to any server, since another VM began the stream (ORDER); and against refusing them all (LOST).
    VersionedServers it(Versions{{"a", "v1"}, {"b", "v1.1"}}, 4);
    for (int n = 0; n < 24; ++n) {
        const QByteArray first = "first-" + QByteArray::number(n);
        const std::string version = it.beginStream(n % 4, first);
        for (int take = 1; take < 4; ++take) {
            const QByteArray next = "take-" + QByteArray::number(n) + "-" + QByteArray::number(take);
            const int gateway = (n + take) % 4;
            auto held = it.holdStream(gateway, "held-" + next);
            CHECK(it.takeUp(gateway, next, first) == 200);
            CHECK(it.versionsOf(next) == std::set<std::string>{version});
            held.cancel();
        }
    }
}

TEST_CASE("a stream is taken up after the VM that began it has gone")
{
    // Guards against a proof that is lost with the VM that began the stream (ORDER, LOST).
    VersionedServers it(Versions{{"a", "v1"}, {"b", "v1.1"}}, 4);
    std::map<QByteArray, std::string> begun;
    for (int n = 0; n < 12; ++n) {
        const QByteArray first = "first-" + QByteArray::number(n);
        begun[first] = it.beginStream(3, first);
    }
    runFor(20ms); // origins are recorded by datagrams
    it.others.pop_back(); // all its callers have left
    int n = 0;
    for (const auto &[first, version] : begun) {
        const QByteArray take = "take-" + first;
        auto held = it.holdStream(n % 3, "held-" + first);
        CHECK(it.takeUp(n++ % 3, take, first) == 200);
        held.cancel();
        CHECK(it.versionsOf(take) == std::set<std::string>{version});
    }
}

TEST_CASE("a take-up whose origin nobody knows is refused soon and reaches no server")
{
    // Guards against a guess at the software version from the servers that are listed now (ORDER).
    VersionedServers it(Versions{{"a", "v1"}, {"c", "v1"}}, 2);
    const auto begin = monotonicNow();
    CHECK(it.takeUp(0, "take", "unknown") == 503);
    CHECK(monotonicNow() - begin < 300ms);
    CHECK(it.takeUp(0, "take", "") == 503);
    CHECK(it.servers.empty());
    CHECK(it.fixture.lastLine("request")["reason"].get<std::string>().find("unknown") != std::string::npos);
}

TEST_CASE("a take-up whose software version has left the service is refused at once, with no time to return")
{
    // Guards against callers who come back for what can't go on any more, and against its continuation at another version (ORDER).
    VersionedServers it(Versions{{"a", "v1"}});
    it.beginStream(0, "first");
    VersionedServers::list(it.fixture.store, it.fixture.serverAddresses[0], "b", "v2");
    it.versions["b"] = "v2";
    it.fixture.store.put("servers", "a", std::nullopt);
    CHECK(runUntil([&] {
        return it.fixture.lastLine("backend_server")["change"] == "removed";
    }));
    CHECK(it.takeUp(0, "take", "first") == 503);
    CHECK(it.retryAfter.isEmpty());
    CHECK(it.servers.size() == 1);
}

TEST_CASE("a server that starts again under its id with another software version doesn't continue streams of the one before")
{
    // Guards against a process that is taken for the one that had its id and address (ORDER).
    VersionedServers it(Versions{{"a", "v1"}});
    it.beginStream(0, "first");
    VersionedServers::list(it.fixture.store, it.fixture.serverAddresses[0], "a", "v2");
    CHECK(runUntil([&] {
        return it.fixture.lastLine("backend_server")["software"] == "v2";
    }));
    CHECK(it.takeUp(0, "take", "first") == 503);
    CHECK(it.servers.size() == 1);
}
