#include "gatewayfixture.h"

#include "auburndrum/gateway/relaymessages.h"
#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

// A stream is silent after four event gaps of 100 ms, a server without an answer after two target latencies of 300 ms.
constexpr auto LongestOverlap = 400ms; // for which two servers may run one request
constexpr auto WeightsLimit = 800ms;

const QByteArray Head = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const QByteArray FirstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const QByteArray LastEvent = "id: 3\ndata: c\n\n";
const QByteArray End = "0\r\n\r\n";

QByteArray chunk(const QByteArray &body)
{
    return QByteArray::number(body.size(), 16) + "\r\n" + body + "\r\n";
}

void writeLater(QTcpSocket *socket, std::chrono::milliseconds delay, const QByteArray &bytes)
{
    QTimer::singleShot(delay, Qt::PreciseTimer, socket, [socket, bytes] {
        socket->write(bytes);
    });
}

/// Whole milliseconds, which a failed check prints.
std::int64_t milliseconds(std::chrono::nanoseconds it)
{
    return std::chrono::floor<std::chrono::milliseconds>(it).count();
}

/// Counts the time in which this process runs: a busy machine may hold it up for half a second, its servers included.
class LoopClock
{
public:
    LoopClock()
    {
        QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
            m_elapsed = now();
            m_tickedAt = monotonicNow();
        });
        m_timer.setTimerType(Qt::PreciseTimer);
        m_timer.start(5ms);
    }

    std::chrono::nanoseconds now() const
    {
        return m_elapsed + std::min<std::chrono::nanoseconds>(monotonicNow() - m_tickedAt, MaxStep);
    }

private:
    static constexpr std::chrono::nanoseconds MaxStep = 20ms;
    QTimer m_timer;
    std::chrono::nanoseconds m_elapsed{0};
    Instant m_tickedAt = monotonicNow();
};

void sayNothing(QTcpSocket * /*socket*/)
{
}

void sendFirstEvents(QTcpSocket *socket)
{
    socket->write(Head + chunk(FirstEvents));
}

/// Servers each of which is listed once the one before it has received the request. The weights of the first one are 1, those of the next one 2, and so on.
class ServersInTurn
{
public:
    using Answer = std::function<void(QTcpSocket *socket)>;

    struct Server
    {
        std::optional<std::chrono::nanoseconds> askedAt;
        std::optional<std::chrono::nanoseconds> endedAt; ///< when its connection ended
        std::unique_ptr<RawServer> server;
    };

    explicit ServersInTurn(const std::vector<Answer> &answers)
        : servers(makeServers(answers))
        , gateway(
              [](const std::shared_ptr<net::Exchange> &, int) {
              },
              true,
              [this](GatewayFixture &it, GatewayOptions &options) {
                  options.retries = {.ratio = 4, .window = 10s};
                  options.outdatedWeightsLimit = WeightsLimit;
                  it.store.put("servers", "a", value(0));
                  it.store.put("servers", "b", std::nullopt);
              })
    {
    }

    bool hasEnded(std::size_t n)
    {
        return runUntil([this, n] {
            return servers[n].endedAt.has_value();
        });
    }

    /// Has the last server write this once the connections to all others have ended, or after `limit`.
    void writeOnceOthersEnded(QTcpSocket *socket, std::chrono::milliseconds limit, const QByteArray &bytes)
    {
        QObject::connect(&m_poll, &QTimer::timeout, socket, [this, socket, limit, bytes, begin = clock.now()] {
            const bool areEnded = std::all_of(servers.begin(), std::prev(servers.end()), [](const Server &it) {
                return it.endedAt.has_value();
            });
            if (areEnded || clock.now() - begin >= limit) {
                m_poll.stop();
                writtenAt = clock.now();
                socket->write(bytes);
            }
        });
        m_poll.start(5ms);
    }

    LoopClock clock;
    std::optional<std::chrono::nanoseconds> writtenAt; ///< by writeOnceOthersEnded()
    std::vector<Server> servers;
    GatewayFixture gateway;

private:
    QTimer m_poll;

    std::vector<Server> makeServers(const std::vector<Answer> &answers)
    {
        std::vector<Server> made(answers.size());
        for (std::size_t n = 0; n < answers.size(); ++n) {
            made[n].server = std::make_unique<RawServer>([this, n, answer = answers[n]](QTcpSocket *socket, const QByteArray &) {
                servers[n].askedAt = clock.now();
                QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, n] {
                    servers[n].endedAt = clock.now();
                });
                if (n + 1 < servers.size()) {
                    gateway.store.put("servers", std::string(1, static_cast<char>('a' + n + 1)), value(n + 1));
                }
                answer(socket);
            });
        }
        return made;
    }

    QByteArray value(std::size_t n) const
    {
        return servers[n].server->address() + ' ' + QByteArray::number(static_cast<int>(n) + 1) + " x";
    }
};

} // namespace

// Guards against a stream that is cut though a third server is free: two have fallen silent, and one of them was given up before the third one went on (LOST).
// Guards also against servers that stay at work on a stream that another one goes on with (TWICE).
TEST_CASE("a stream whose first two servers fall silent is whole through a third one, and ends at both as soon as that one goes on")
{
    std::optional<std::chrono::nanoseconds> goesOnAt;
    ServersInTurn it({sendFirstEvents, sayNothing, [&](QTcpSocket *socket) {
                          QTimer::singleShot(100ms, Qt::PreciseTimer, socket, [&it, &goesOnAt, socket] {
                              goesOnAt = it.clock.now();
                              socket->write(Head + chunk(LastEvent));
                              it.writeOnceOthersEnded(socket, 200ms, End);
                          });
                      }});
    const auto result = it.gateway.sendRequest("/several/x");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
    REQUIRE(goesOnAt);
    REQUIRE(it.writtenAt);
    for (const std::size_t n : {0, 1}) {
        CAPTURE(n);
        CHECK(it.servers[n].server->requests() == 1);
        REQUIRE(it.hasEnded(n));
        CHECK(*it.servers[n].endedAt > *goesOnAt);
        CHECK(*it.servers[n].endedAt < *it.writtenAt);
    }
    const nlohmann::json &line = it.gateway.lastLine("request");
    CHECK(line["outcome"] == "served");
    CHECK(line["attempts"].size() == 3);
}

// Guards against a run on outdated weights at a server that was left open, in whose queue the request waits while another server has answered (TWICE).
TEST_CASE("an open attempt that has not begun ends when its weights reach their limit, and the other one goes on")
{
    std::optional<std::chrono::nanoseconds> namedFrom;
    std::function<void()> nameWeights;
    ServersInTurn it({sayNothing, [&](QTcpSocket *socket) {
                          socket->write(Head);
                          nameWeights();
                          it.writeOnceOthersEnded(socket, 1000ms, chunk(FirstEvents + LastEvent) + End);
                      }});
    nameWeights = [&it, &namedFrom] {
        // This answer of the operator's topic sets the time from which the naming counts.
        it.gateway.store.put("operator", "configuration", "2");
        REQUIRE(runUntil([&it] {
            return it.gateway.hasLogged("configuration", 2);
        }));
        namedFrom = it.clock.now();
        it.gateway.store.put("operator", "weights", "2");
    };
    it.gateway.extraHeaders = {{"Model", "m"}};
    const auto result = it.gateway.sendRequest("/several/x");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
    REQUIRE(namedFrom);
    REQUIRE(it.writtenAt);
    REQUIRE(it.hasEnded(0));
    CHECK(milliseconds(*it.servers[0].endedAt - *namedFrom) < WeightsLimit.count());
    CHECK(*it.servers[0].endedAt < *it.writtenAt);
    const nlohmann::json &line = it.gateway.lastLine("request");
    REQUIRE(line["attempts"].size() == 2);
    CHECK(line["attempts"].at(0)["result"] == "outdated_weights");
    CHECK(line["attempts"].at(1)["result"] == "served");
}

// Guards against a second run of a stream whose server may pause for any time: its route names no longest event gap (TWICE).
TEST_CASE("a stream that pauses on a route without a longest event gap stays at its server")
{
    ServersInTurn it({[](QTcpSocket *socket) {
                          sendFirstEvents(socket);
                          writeLater(socket, 1500ms, chunk(LastEvent) + End);
                      },
                      [](QTcpSocket *socket) {
                          socket->write(Head + chunk(LastEvent) + End);
                      }});
    const auto result = it.gateway.sendRequest("/gapless/x");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
    CHECK(it.servers[0].server->requests() == 1);
    CHECK(it.servers[1].server->requests() == 0);
    CHECK(it.gateway.lastLine("request")["attempts"].size() == 1);
}

// Guards against a plain request that two servers run until its deadline, as neither answers (TWICE).
TEST_CASE("a plain request whose silent server stays open ends there 400 ms after another one was asked")
{
    constexpr auto Allowance = 60ms; // for a timer that may be 5% late
    ServersInTurn it({sayNothing, sayNothing});
    const auto result = it.gateway.sendRequest("/patient/x");
    CHECK(result.head.status == 504);
    REQUIRE(it.servers[1].askedAt);
    REQUIRE(it.hasEnded(0));
    CHECK(*it.servers[0].endedAt > *it.servers[1].askedAt); // it stayed open
    CHECK(milliseconds(*it.servers[0].endedAt - *it.servers[1].askedAt) < (LongestOverlap + Allowance).count());
    CHECK(it.servers[0].server->requests() == 1);
    CHECK(it.servers[1].server->requests() == 1);
}

// Guards against a stream that two servers run until its deadline: the second one has begun, which its head shows, and sends no byte of an event (TWICE).
TEST_CASE("a stream whose second server sends no more than a head is not run by both for longer than 400 ms")
{
    ServersInTurn it({sendFirstEvents, [](QTcpSocket *socket) {
                          socket->write(Head);
                      }});
    it.gateway.extraHeaders = {{"Patience", "1500"}};
    it.gateway.sendRequest("/several/x");
    REQUIRE(it.servers[1].askedAt);
    REQUIRE(it.hasEnded(0));
    REQUIRE(it.hasEnded(1));
    CHECK(*it.servers[0].endedAt > *it.servers[1].askedAt); // it stayed open
    CHECK(milliseconds(std::min(*it.servers[0].endedAt, *it.servers[1].endedAt) - *it.servers[1].askedAt) < LongestOverlap.count());
}

// Guards against a request that runs twice, since its caller is told that it has not run (REFUSED), and against one that reaches more servers than its route
// allows (BUDGET): its connection was lost, and its time ended before it was known whether that was the server's fault.
TEST_CASE("a VM whose time for a request ends soon after its connection was lost says that it may have run, and counts its server")
{
    bool wasLost = false;
    for (int n = 0; n < 5 && !wasLost; ++n) { // a busy machine may hold this process up until the deadline
        RawServer server([](QTcpSocket *socket, const QByteArray &request) {
            const qsizetype begin = request.indexOf("\r\nLeft: ") + 8;
            const std::chrono::milliseconds left(request.mid(begin, request.indexOf("\r\n", begin) - begin).toInt());
            QTimer::singleShot(left - 70ms, Qt::PreciseTimer, socket, [socket] { // the VM waits for 90 ms then
                socket->abort();
            });
        });
        GatewayFixture it(
            [](const std::shared_ptr<net::Exchange> &, int) {
            },
            true,
            [&server](GatewayFixture &fixture, GatewayOptions &options) {
                options.retries = {.ratio = 4, .window = 10s};
                options.entryTopic = "entries";
                options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
                fixture.store.put("servers", "a", server.address() + " 0 v1");
                fixture.store.put("servers", "b", server.address() + " 0 v1");
            });
        REQUIRE(runUntil([&it] {
            return it.hasLogged("entry_vms");
        }));
        const auto vm = entryVmFrom(it.store.records("entries").front().value->toStdString());
        REQUIRE(vm);
        it.extraHeaders = {{"Relayed-By", "x"}, {"Patience", "300"}};
        const auto result = it.sendRequestTo(*net::parseAddress(vm.value().address), "/safe/");
        CHECK(result.head.status == 504);
        CHECK(result.head.header("Relayed-Deliveries") == "1");
        CHECK(server.requests() == 1);
        const nlohmann::json &line = it.lastLine("request");
        REQUIRE(line["attempts"].size() == 1);
        wasLost = line["attempts"].at(0)["result"] == "connection closed"; // before the deadline
    }
    CHECK(wasLost);
}
