#include "gatewayfixture.h"

#include "auburndrum/gateway/relaymessages.h"
#include "deadaddress.h"
#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// Guards against streams that are broken off with most of their time left: one other VM refused the rest, for a moment or since it had not heard which software
// began the stream, and that counted as the end (LOST).

namespace {

const QByteArray Head = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n";
const QByteArray Chunked = "Transfer-Encoding: chunked\r\n\r\n";
const QByteArray Refusal = "HTTP/1.1 503 Service Unavailable\r\nRelayed-Vm: other\r\nRetry-After: 0.2\r\nContent-Length: 16\r\n\r\n{\"error\":\"test\"}";

const QByteArray Failure = "HTTP/1.1 502 Bad Gateway\r\nRelayed-Vm: other\r\n";
const QByteArray FailureBody = "Content-Length: 16\r\n\r\n{\"error\":\"test\"}";

QByteArray event(int n)
{
    return "id: " + QByteArray::number(n) + "\ndata: piece " + QByteArray::number(n) + "\n\n";
}

QByteArray chunk(const QByteArray &body)
{
    return QByteArray::number(body.size(), 16) + "\r\n" + body + "\r\n";
}

const QByteArray FirstEvents = event(1) + event(2);
const QByteArray LastEvents = event(3) + event(4);

/// A VM whose server ends inside a stream, while no other one can be reached, and the VMs that the rest is passed on to: the first requests are refused.
struct LostPath
{
    LostPath(int vms, int refusals, const QByteArray &refusal = Refusal)
        : others([this, refusals, refusal](QTcpSocket *socket, const QByteArray &request) {
            if (!request.contains("Relayed-By: ")) { // news between VMs
                socket->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            passedOn.push_back(request);
            const QByteArray fields = "Relayed-Server: a\r\nRelayed-Service: service\r\nRelayed-Software: v1\r\n";
            const bool isRefused = static_cast<int>(passedOn.size()) <= refusals;
            socket->write(isRefused ? refusal : Head + fields + Chunked + chunk(LastEvents) + "0\r\n\r\n");
        })
        , gateway(
              [](const std::shared_ptr<net::Exchange> &, int) {
              },
              true,
              [&](GatewayFixture &it, GatewayOptions &options) {
                  options.retries = {.ratio = 2, .window = 10s};
                  options.entryTopic = "entries";
                  options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
                  for (int n = 0; n < vms; ++n) {
                      const std::string name = "other-" + std::to_string(n);
                      it.store.put("entries", name, QByteArray::fromStdString(toJson(decision::EntryVm{name, others.address().toStdString(), "zone", 10})));
                  }
                  server.emplace([this](QTcpSocket *socket, const QByteArray &) {
                      socket->write(Head + Chunked + chunk(FirstEvents));
                      QTimer::singleShot(100ms, &timer, [this] {
                          breakOff();
                      });
                  });
                  it.store.put("servers", "a", server->address() + " 0 v1");
                  it.store.put("servers", "b", std::nullopt);
              })
    {
        REQUIRE(runUntil([this] {
            return gateway.hasLogged("entry_vms");
        }));
    }

    void breakOff()
    {
        for (const char *it : {"b", "c", "d"}) {
            gateway.store.put("servers", it, dead.text() + " 0 v1");
        }
        QTimer::singleShot(300ms, &timer, [this] { // once they are known
            server.reset();
        });
    }

    DeadAddress dead{DeadAddress::Kind::Refusing};
    std::vector<QByteArray> passedOn;
    QTimer timer;
    std::optional<RawServer> server;
    RawServer others;
    GatewayFixture gateway;
};

void checkWhole(LostPath &it, std::size_t passedOn)
{
    it.gateway.extraHeaders = {{"Patience", "1000"}};
    const auto result = it.gateway.sendRequest("/stream/");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvents);
    CHECK(it.passedOn.size() == passedOn);
    const nlohmann::json attempts = it.gateway.lastLine("request")["attempts"];
    const auto logged = std::count_if(attempts.begin(), attempts.end(), [](const nlohmann::json &attempt) {
        return attempt.value("passed_on", false); // the log tells which attempts went to another VM
    });
    CHECK(logged == static_cast<std::ptrdiff_t>(passedOn));
}

} // namespace

TEST_CASE("a stream that has begun goes on through another VM when the first one refuses it")
{
    LostPath it(2, 1);
    checkWhole(it, 2);
    const nlohmann::json attempts = it.gateway.lastLine("request")["attempts"];
    CHECK(std::any_of(attempts.begin(), attempts.end(), [](const nlohmann::json &attempt) {
        return attempt.value("refusal", nlohmann::json()) == nlohmann::json{{"status", 503}, {"reason", "test"}};
    }));
}

TEST_CASE("a stream that has begun is passed on again after the time that the only other VM names")
{
    LostPath it(1, 1);
    checkWhole(it, 2);
}

TEST_CASE("a stream that has begun ends when it is refused for longer than its time")
{
    LostPath it(1, 100);
    const auto begin = monotonicNow();
    const auto result = it.gateway.sendRequest("/stream/");
    CHECK(result.failure != net::HttpFailure::None);
    CHECK(monotonicNow() - begin < 1200ms);
    CHECK(it.passedOn.size() <= 4);
}

// Guards against a stream that is broken off since it may have run, which matters to requests that run once only: the VM that it was passed on to had lost its
// path as well, or its servers (LOST).
TEST_CASE("a stream that has begun goes on through another VM when the first one's answer says that it may have run there")
{
    for (const QByteArray &told : {QByteArray(), QByteArray("Relayed-Deliveries: 0\r\n"), QByteArray("Relayed-Deliveries: 1\r\n")}) {
        CAPTURE(told.toStdString());
        LostPath it(2, 1, Failure + told + FailureBody);
        checkWhole(it, 2);
    }
}

// Guards against a stream that is sent to more servers than its route allows, one VM after the other (BUDGET).
TEST_CASE("servers that a stream reached through another VM count against its limit")
{
    LostPath it(3, 100, Failure + "Relayed-Deliveries: 3\r\n" + FailureBody);
    const auto result = it.gateway.sendRequest("/stream/");
    CHECK(result.failure != net::HttpFailure::None);
    CHECK(it.passedOn.size() == 1);
    CHECK(it.gateway.lastLine("request")["not_sent_again"] == "limits of one request");
}

TEST_CASE("a VM that passes a stream on tells which software began it")
{
    LostPath it(1, 0);
    checkWhole(it, 1);
    CHECK(it.passedOn.front().contains("Relayed-Service: service\r\n"));
    CHECK(it.passedOn.front().contains("Relayed-Software: v1\r\n"));
}

TEST_CASE("a VM that is told which software began a stream goes on with it, though it hasn't heard of the stream")
{
    GatewayFixture it(
        [](const std::shared_ptr<net::Exchange> &exchange, int) {
            exchange->respond(200, {{"Id", "request-1"}, {"Seal", "s"}, {"Content-Type", "text/event-stream"}}, LastEvents);
        },
        true,
        [](GatewayFixture &fixture, GatewayOptions &options) {
            options.entryTopic = "entries";
            options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
            for (const std::size_t n : {0, 1}) {
                fixture.store.put("servers", n == 0 ? "a" : "b", fixture.serverAddresses[n] + " 0 v" + QByteArray::number(static_cast<int>(n) + 1));
            }
        });
    REQUIRE(runUntil([&it] {
        return it.hasLogged("entry_vms");
    }));
    const auto vm = entryVmFrom(it.store.records("entries").front().value->toStdString());
    REQUIRE(vm);
    for (const char *software : {"v1", "v2"}) {
        it.extraHeaders = {{"Last", "2"}, {"Resumes", "begun"}, {"Relayed-By", "other"}, {"Relayed-Service", "service"}, {"Relayed-Software", software}};
        const auto result = it.sendRequestTo(*net::parseAddress(vm.value().address), "/stream/");
        CHECK(result.head.status == 200);
        CHECK(result.body == LastEvents);
        const nlohmann::json attempts = it.lastLine("request")["attempts"];
        REQUIRE_FALSE(attempts.empty());
        CHECK(attempts.back()["software"] == software);
    }
}

namespace {

/// A VM that requests are passed on to, with its address among VMs.
struct RelayingVm
{
    explicit RelayingVm(const GatewayFixture::Preparation &prepare)
        : gateway(
            [](const std::shared_ptr<net::Exchange> &, int) {
            },
            true,
            [&prepare](GatewayFixture &it, GatewayOptions &options) {
                options.entryTopic = "entries";
                options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
                it.store.put("servers", "b", std::nullopt);
                prepare(it, options);
            })
    {
        REQUIRE(runUntil([this] {
            return gateway.hasLogged("entry_vms");
        }));
        const auto vm = entryVmFrom(gateway.store.records("entries").front().value->toStdString());
        REQUIRE(vm);
        address = *net::parseAddress(vm.value().address);
    }

    GatewayFixture gateway;
    net::Address address;
};

const std::vector<net::Header> GoesOn = {{"Last", "2"}, {"Resumes", "begun"}, {"Relayed-By", "x"}, {"Relayed-Service", "service"}, {"Relayed-Software", "v1"}};

} // namespace

// Guards against a stream that ends since the servers which a VM lost with its own path use its limit up (LOST).
TEST_CASE("a VM that loses its path under a stream that was passed on to it doesn't count the servers that it lost")
{
    const DeadAddress dead{DeadAddress::Kind::Refusing};
    std::optional<RawServer> server;
    QObject context;
    server.emplace([&](QTcpSocket *, const QByteArray &) {
        QTimer::singleShot(0, &context, [&server] {
            server.reset();
        });
    });
    RelayingVm it([&](GatewayFixture &fixture, GatewayOptions &) {
        fixture.store.put("servers", "a", server->address() + " 0 v1");
        for (const char *id : {"c", "d", "e", "f"}) {
            fixture.store.put("servers", id, dead.text() + " 0 v2");
        }
    });
    it.gateway.extraHeaders = GoesOn;
    const auto result = it.gateway.sendRequestTo(it.address, "/stream/");
    CHECK(result.head.status == 502);
    CHECK(result.head.header("Relayed-Deliveries") == "0");
}

// Guards against a request that is sent to more servers than its route allows: the VM that it was passed on to forgot the one at which its time ended (BUDGET).
TEST_CASE("a VM whose time for a request ends counts the server that has it")
{
    RawServer server([](QTcpSocket *, const QByteArray &) {
    });
    RelayingVm it([&](GatewayFixture &fixture, GatewayOptions &) {
        fixture.store.put("servers", "a", server.address() + " 0 v1");
    });
    it.gateway.extraHeaders = {{"Relayed-By", "x"}, {"Relayed-Deliveries", "1"}, {"Patience", "200"}};
    const auto result = it.gateway.sendRequestTo(it.address, "/safe/");
    CHECK(result.head.status == 504);
    CHECK(result.head.header("Relayed-Deliveries") == "2");
}

// Guards against a request that is taken back from the VM that it was passed on to: the check of the weights at the server that couldn't be reached went on,
// and a VM has none (LOST).
TEST_CASE("a prompt that is passed on stays with the other VM however old its first server's weights are")
{
    const DeadAddress dead{DeadAddress::Kind::Refusing};
    int passedOn = 0;
    RawServer other([&passedOn](QTcpSocket *socket, const QByteArray &request) {
        if (!request.contains("Relayed-By: ")) { // news between VMs
            socket->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        ++passedOn;
        QTimer::singleShot(600ms, socket, [socket] {
            socket->write(Head + "Relayed-Server: c\r\nRelayed-Service: service\r\n" + Chunked + chunk(FirstEvents + LastEvents) + "0\r\n\r\n");
        });
    });
    GatewayFixture it(
        [](const std::shared_ptr<net::Exchange> &, int) {
        },
        true,
        [&](GatewayFixture &fixture, GatewayOptions &options) {
            options.retries = {.ratio = 2, .window = 10s};
            options.outdatedWeightsLimit = 300ms;
            options.startSettleTime = 0ms;
            options.entryTopic = "entries";
            options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
            fixture.store.put("entries", "other", QByteArray::fromStdString(toJson(decision::EntryVm{"other", other.address().toStdString(), "zone", 10})));
            fixture.store.put("operator", "weights", "1");
            for (const char *id : {"a", "b"}) {
                fixture.store.put("servers", id, dead.text() + " 1 v1");
            }
        });
    REQUIRE(runUntil([&it] {
        return it.hasLogged("entry_vms") && it.hasLogged("weights_named");
    }));
    it.extraHeaders = {{"Model", "m"}, {"Parts", "p,q"}};
    const auto result = it.sendRequest("/stream/");
    CHECK(result.head.status == 200);
    CHECK(result.body == FirstEvents + LastEvents);
    CHECK(passedOn == 1);
}
