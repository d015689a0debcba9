#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto LongestOverlap = 400ms; // for which two servers may run one request

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

/// A server that falls silent inside a stream, and another one that goes on with it. The fixture's streams are silent after 400 ms and end after 1 s.
struct TwoServers
{
    using Answer = std::function<void(QTcpSocket *socket)>;

    TwoServers(const Answer &first, const Answer &second)
        : silent([this, first](QTcpSocket *socket, const QByteArray &) {
            QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] {
                firstEndedAt = monotonicNow();
            });
            first(socket);
        })
        , other([this, second](QTcpSocket *socket, const QByteArray &) {
            secondBegunAt = monotonicNow();
            QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] {
                secondEndedAt = monotonicNow();
            });
            second(socket);
        })
        , gateway(
              [](const std::shared_ptr<net::Exchange> &, int) {
              },
              true,
              [this](GatewayFixture &it, GatewayOptions &options) {
                  options.retries = {.ratio = 4, .window = 10s};
                  it.store.put("servers", "a", silent.address() + " 1 x");
                  it.store.put("servers", "b", std::nullopt);
              })
    {
        QTimer::singleShot(200ms, &gateway.client, [this] { // once the request has reached the first one
            gateway.store.put("servers", "b", other.address() + " 1 x");
        });
    }

    std::optional<Instant> firstEndedAt;
    std::optional<Instant> secondBegunAt;
    std::optional<Instant> secondEndedAt;
    RawServer silent;
    RawServer other;
    GatewayFixture gateway;
};

} // namespace

// Guards against a stream that two servers run until the second one has written a whole event, however long that takes (TWICE).
TEST_CASE("the silent server's run ends soon after another one has begun, also while that one is inside its first event")
{
    TwoServers it(
        [](QTcpSocket *socket) {
            socket->write(Head + chunk(FirstEvents));
        },
        [](QTcpSocket *socket) {
            socket->write(Head + chunk(LastEvent.left(5)));
            writeLater(socket, 500ms, chunk(LastEvent.mid(5)) + End);
        });
    const auto result = it.gateway.sendRequest("/stream/x");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
    REQUIRE(it.secondBegunAt);
    REQUIRE(runUntil([&it] {
        return it.firstEndedAt.has_value();
    }));
    CHECK(*it.firstEndedAt - *it.secondBegunAt < LongestOverlap);
    const nlohmann::json &line = it.gateway.lastLine("request");
    CHECK(line["attempts"].size() == 2);
    CHECK(line["attempts"].at(1).value("head_ms", -1) >= 0); // the log tells when the second run began
}

// Guards against a run that is given up for one that has stopped: of two that have begun the one that brought bytes last goes on (LOST).
TEST_CASE("a silent server that goes on while another one is inside its first event keeps the stream")
{
    TwoServers it(
        [](QTcpSocket *socket) {
            socket->write(Head + chunk(FirstEvents));
            writeLater(socket, 550ms, chunk(LastEvent.left(5)));
            writeLater(socket, 850ms, chunk(LastEvent.mid(5)) + End);
        },
        [](QTcpSocket *socket) {
            socket->write(Head + chunk(LastEvent.left(5)));
        });
    const auto result = it.gateway.sendRequest("/stream/x");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
    REQUIRE(it.secondBegunAt);
    REQUIRE(runUntil([&it] {
        return it.secondEndedAt.has_value();
    }));
    CHECK(*it.secondEndedAt - *it.secondBegunAt < LongestOverlap);
}

// Guards against a stream that leaves a sound server for a place in another one's queue: nothing shows yet that the other one runs it (LOST).
TEST_CASE("a silent server keeps the stream while the other one has not begun")
{
    TwoServers it(
        [](QTcpSocket *socket) {
            socket->write(Head + chunk(FirstEvents));
            writeLater(socket, 900ms, chunk(LastEvent) + End);
        },
        [](QTcpSocket *) {
        });
    const auto result = it.gateway.sendRequest("/stream/x");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
    CHECK(it.secondBegunAt.has_value());
}
