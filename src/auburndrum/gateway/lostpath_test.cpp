#include "gatewayfixture.h"

#include "auburndrum/gateway/relaymessages.h"
#include "deadaddress.h"
#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto Interval = 20ms; // between requests
constexpr auto LearningTime = 2s; // half of the time after which a VM without a path must serve its callers as others do
const std::vector<std::string> ServerIds = {"a", "b", "c", "d"};

/// Entry VMs in one fleet, each before backend servers of its own addresses: those of a VM without a path are dead.
class SplitFleet
{
public:
    using Responder = GatewayFixture::Responder;

    explicit SplitFleet(Responder responder)
        : m_responder(std::move(responder))
    {
    }

    GatewayFixture &addVm(const std::string &name, const std::vector<QByteArray> &deadAddresses = {})
    {
        vms.push_back(std::make_unique<GatewayFixture>(m_responder, true, [&](GatewayFixture &it, GatewayOptions &options) {
            options.retries = {.ratio = 1, .window = 10s};
            options.entryTopic = "entries";
            options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
            options.directoryDelay = 300ms; // until all VMs are in each store
            options.vm = name;
            for (std::size_t n = 0; n < ServerIds.size(); ++n) {
                it.store.put("servers", ServerIds[n], deadAddresses.empty() ? it.serverAddresses[n % 2] : deadAddresses[n % deadAddresses.size()]);
            }
        }));
        return *vms.back();
    }

    /// Tells each VM of the others, as one store for all would.
    void introduce()
    {
        for (auto &it : vms) {
            CHECK(runUntil([&] {
                return !it->store.records("entries").empty();
            }));
        }
        for (auto &it : vms) {
            for (auto &other : vms) {
                if (it != other) {
                    const StoreRecord record = other->store.records("entries").front();
                    it->store.put("entries", record.key, record.value);
                }
            }
        }
        CHECK(runUntil([&] {
            return std::all_of(vms.begin(), vms.end(), [](const auto &it) {
                return it->hasLogged("entry_vms");
            });
        }));
    }

    /// Sends requests to a VM one after the other for a time; returns how many had each status.
    static std::map<int, int> sendFor(GatewayFixture &vm, std::chrono::milliseconds time, const std::vector<QByteArray> &targets)
    {
        std::map<int, int> counts;
        std::size_t n = 0;
        for (const Instant end = monotonicNow() + time; monotonicNow() < end; runFor(Interval)) {
            const auto result = vm.sendRequest(targets[n++ % targets.size()]);
            ++counts[result.failure == net::HttpFailure::None ? result.head.status : 0];
        }
        return counts;
    }

    std::vector<std::unique_ptr<GatewayFixture>> vms;

private:
    Responder m_responder;
};

void respondOk(const std::shared_ptr<net::Exchange> &exchange, int /*call*/)
{
    exchange->respond(200, {{"Id", exchange->header("Attempt")}, {"Seal", "s"}}, "id: 1\ndata: a\n\n");
}

const std::vector<QByteArray> AllKinds = {"/safe/", "/once/", "/stream/"};

} // namespace

// Guards against tests whose dead server is alive: the port of an address that refuses was free for any other program to listen on.
TEST_CASE("nobody else can listen on an address that refuses connections")
{
    DeadAddress dead(DeadAddress::Kind::Refusing);
    const net::Address address = *net::parseAddress(dead.text().toStdString());
    QTcpServer other;
    CHECK_FALSE(other.listen(address.host, address.port));
    QTcpSocket caller;
    caller.connectToHost(address.host, address.port);
    CHECK_FALSE(caller.waitForConnected(1000));
    CHECK(caller.error() == QAbstractSocket::ConnectionRefusedError);
}

TEST_CASE("a VM without a path to any server serves its callers through a VM that has one")
{
    // Guards against callers of a cut-off VM who are refused although all servers are well (RECOVER).
    for (const auto kind : {DeadAddress::Kind::Hanging, DeadAddress::Kind::Refusing, DeadAddress::Kind::Resetting}) {
        CAPTURE(static_cast<int>(kind));
        DeadAddress dead(kind);
        SplitFleet fleet(respondOk);
        GatewayFixture &healthy = fleet.addVm("healthy");
        GatewayFixture &cut = fleet.addVm("cut", {dead.text()});
        fleet.introduce();
        SplitFleet::sendFor(cut, LearningTime, {"/safe/"});
        const auto arrived = healthy.receivedRequests.size();
        const auto counts = SplitFleet::sendFor(cut, 2s, AllKinds);
        CHECK(counts.size() == 1);
        REQUIRE(counts.contains(200));
        CHECK(counts.at(200) >= 30);
        CHECK(healthy.receivedRequests.size() - arrived == static_cast<std::size_t>(counts.at(200))); // nothing ran twice
        CHECK(healthy.lastLine("request")["request"] == cut.lastLine("request")["request"]);
        CHECK(healthy.lastLine("request")["relayed_by"] == "cut");
    }
}

TEST_CASE("a request whose time ends before it was sent is refused")
{
    // Guards against a caller who is told that its request may have run although no server got a byte of it.
    DeadAddress dead(DeadAddress::Kind::Hanging);
    SplitFleet fleet(respondOk);
    GatewayFixture &alone = fleet.addVm("alone", {dead.text()});
    alone.extraHeaders = {{"Patience", "200"}};
    const auto result = alone.sendRequest("/once/");
    CHECK(result.head.status == 503);
    CHECK_FALSE(result.head.header("Retry-After").isEmpty());
}

TEST_CASE("requests to a cut-off VM are served within the first second of the cut")
{
    // Guards against a VM that learns of its cut from one request after the other, each of which waits for its own time limit (RECOVER).
    DeadAddress dead(DeadAddress::Kind::Refusing);
    SplitFleet fleet(respondOk);
    fleet.addVm("healthy");
    GatewayFixture &cut = fleet.addVm("cut", {dead.text()});
    fleet.introduce();
    const auto counts = SplitFleet::sendFor(cut, 1s, {"/once/", "/safe/"});
    CHECK(counts.size() == 1);
    CHECK(counts.contains(200));
}

TEST_CASE("VMs that all lack a path refuse at once and pass no request round in circles")
{
    // Guards against requests that wander between cut-off VMs until their deadlines.
    DeadAddress dead(DeadAddress::Kind::Refusing);
    SplitFleet fleet(respondOk);
    GatewayFixture &first = fleet.addVm("first", {dead.text()});
    GatewayFixture &second = fleet.addVm("second", {dead.text()});
    fleet.introduce();
    SplitFleet::sendFor(first, 500ms, {"/safe/"});
    const auto begin = monotonicNow();
    const auto result = first.sendRequest("/once/");
    CHECK(monotonicNow() - begin < 100ms);
    CHECK(result.head.status == 503);
    CHECK_FALSE(result.head.header("Retry-After").isEmpty());
    const auto lines = std::count_if(second.logLines.begin(), second.logLines.end(), [](const nlohmann::json &it) {
        return it["event"] == "request";
    });
    CHECK(lines <= 5); // asked now and then, not with each request
}

TEST_CASE("a VM uses its own path again at once after the cut, and its callers are served all the time")
{
    // Guards against circuit breakers of all servers that stay open after a cut, which had nothing to do with the servers (RECOVER).
    DeadAddress dead(DeadAddress::Kind::Refusing);
    SplitFleet fleet(respondOk);
    GatewayFixture &healthy = fleet.addVm("healthy");
    GatewayFixture &cut = fleet.addVm("cut", {dead.text()});
    fleet.introduce();
    SplitFleet::sendFor(cut, LearningTime, AllKinds);
    for (std::size_t n = 0; n < ServerIds.size(); ++n) {
        cut.store.put("servers", ServerIds[n], cut.serverAddresses[n % 2]);
    }
    const auto first = SplitFleet::sendFor(cut, 1s, AllKinds);
    CHECK(first.size() == 1);
    CHECK(first.contains(200));
    const auto relayed = healthy.receivedRequests.size();
    const auto counts = SplitFleet::sendFor(cut, 1s, AllKinds);
    CHECK(counts.size() == 1);
    CHECK(counts.contains(200));
    CHECK(healthy.receivedRequests.size() == relayed);
    std::set<QByteArray> used; // servers that get requests again
    for (const auto &it : cut.receivedRequests) {
        used.insert(it->header("Server"));
    }
    CHECK_FALSE(used.empty());
}

TEST_CASE("servers are used again soon after new connections to them were refused for a while")
{
    // Guards against pauses that double with each connection that is refused, though that costs the server nothing (RECOVER).
    DeadAddress dead(DeadAddress::Kind::Refusing);
    SplitFleet fleet(respondOk);
    GatewayFixture &alone = fleet.addVm("alone", {dead.text()});
    SplitFleet::sendFor(alone, 9s, {"/safe/"});
    for (std::size_t n = 0; n < ServerIds.size(); ++n) {
        alone.store.put("servers", ServerIds[n], alone.serverAddresses[n % 2]);
    }
    SplitFleet::sendFor(alone, 1500ms, {"/safe/"});
    const auto counts = SplitFleet::sendFor(alone, 500ms, {"/safe/"});
    CHECK(counts.size() == 1);
    CHECK(counts.contains(200));
}

TEST_CASE("a request that is passed on keeps its time left, its organisation and its caller's cancelling")
{
    // Guards against runs at a server that go on after the caller of a cut-off VM has left, or beyond its deadline (GONE, BUDGET).
    std::vector<std::shared_ptr<net::Exchange>> held;
    DeadAddress dead(DeadAddress::Kind::Refusing);
    SplitFleet fleet([&held](const std::shared_ptr<net::Exchange> &exchange, int) {
        if (exchange->path() != "/safe/held") {
            respondOk(exchange, 0);
            return;
        }
        held.push_back(exchange);
    });
    GatewayFixture &healthy = fleet.addVm("healthy");
    GatewayFixture &cut = fleet.addVm("cut", {dead.text()});
    fleet.introduce();
    SplitFleet::sendFor(cut, 500ms, {"/safe/"});
    net::HttpCall call;
    call.peer = cut.callerAddress;
    call.target = "/safe/held";
    call.host = "host";
    call.headers = {{"Id", "held"}, {"Key", "key"}, {"Patience", "700"}};
    auto handle = cut.client.start(call, {.onDone = [](const net::HttpResult &) {
                                   }});
    REQUIRE(runUntil([&held] {
        return !held.empty();
    }));
    CHECK(held.front()->header("Left").toInt() <= 700);
    CHECK(held.front()->header("Organisation") == "kattila");
    bool isGone = false;
    held.front()->setOnCallerDisconnected([&isGone] {
        isGone = true;
    });
    handle.cancel();
    CHECK(runUntil(
        [&isGone] {
            return isGone;
        },
        300ms));
    CHECK(healthy.lastLine("request")["outcome"] == "caller_gone");
}

TEST_CASE("a VM that passed on a server's broken answer is asked for the next request at once")
{
    // Guards against callers refused for two seconds since one server, behind the only VM that has a path, broke off a stream (RECOVER).
    DeadAddress dead(DeadAddress::Kind::Refusing);
    SplitFleet fleet([](const std::shared_ptr<net::Exchange> &exchange, int) {
        if (exchange->path() != "/brief/broken") {
            respondOk(exchange, 0);
            return;
        }
        exchange->startStream(200, {{"Id", exchange->header("Attempt")}, {"Seal", "s"}});
        exchange->writeChunk("id: 1\ndata: a\n\n");
        QTimer::singleShot(50ms, [exchange] {
            exchange->abort();
        });
    });
    GatewayFixture &healthy = fleet.addVm("healthy");
    GatewayFixture &cut = fleet.addVm("cut", {dead.text()});
    fleet.introduce();
    SplitFleet::sendFor(cut, 500ms, {"/safe/"});
    for (int n = 0; n < 3; ++n) {
        CAPTURE(n);
        const auto broken = cut.sendRequest("/brief/broken");
        CHECK(broken.failure != net::HttpFailure::None);
        CHECK(healthy.lastLine("request")["relayed_by"] == "cut");
        CHECK(cut.sendRequest("/once/").head.status == 200);
    }
}

TEST_CASE("a refusal of the VM that a request was passed on to reaches the caller with its time to return")
{
    // Guards against a refusal that is taken for a lost request, and against one more send of a request that the servers refused.
    DeadAddress dead(DeadAddress::Kind::Refusing);
    SplitFleet fleet([](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->respond(503, {{"Id", exchange->header("Attempt")}, {"Not-Run", "1"}}, {});
    });
    GatewayFixture &healthy = fleet.addVm("healthy");
    GatewayFixture &cut = fleet.addVm("cut", {dead.text()});
    fleet.introduce();
    const auto result = cut.sendRequest("/single/");
    CHECK(result.head.status == 503);
    CHECK_FALSE(result.head.header("Retry-After").isEmpty());
    CHECK(healthy.receivedRequests.size() == 1);
}

TEST_CASE("a request is passed on to a further VM when the first one has no servers listed")
{
    // Guards against a VM that has just started and refuses, as if the servers had, what another VM can serve (RECOVER).
    DeadAddress dead(DeadAddress::Kind::Refusing);
    SplitFleet fleet(respondOk);
    fleet.addVm("healthy");
    GatewayFixture &started = fleet.addVm("started");
    GatewayFixture &cut = fleet.addVm("cut", {dead.text()});
    for (const std::string &it : ServerIds) {
        started.store.put("servers", it, std::nullopt);
    }
    fleet.introduce();
    const auto counts = SplitFleet::sendFor(cut, 1s, AllKinds);
    CHECK(counts.size() == 1);
    CHECK(counts.contains(200));
}

// Guards against callers of a cut-off VM who are refused in an upgrade: a VM of an earlier version doesn't know requests that are passed on, and its 404 ended
// the matter though a third VM could serve them.
TEST_CASE("a request is passed on to a further VM when the first one doesn't know such requests")
{
    DeadAddress dead(DeadAddress::Kind::Refusing);
    SplitFleet fleet(respondOk);
    fleet.addVm("healthy");
    GatewayFixture &cut = fleet.addVm("cut", {dead.text()});
    int asked = 0;
    RawServer earlier([&asked](QTcpSocket *socket, const QByteArray &request) {
        asked += request.startsWith("POST /rpc ") ? 0 : 1;
        socket->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    });
    cut.store.put("entries", "earlier", QByteArray::fromStdString(toJson(decision::EntryVm{"earlier", earlier.address().toStdString(), "zone", 1000})));
    fleet.introduce();
    const auto counts = SplitFleet::sendFor(cut, 2s, AllKinds);
    CHECK(counts.size() == 1);
    CHECK(counts.contains(200));
    CHECK(asked > 0);
    CHECK(asked <= 2);
}
