#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawcaller.h"
#include "rawserver.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

// The fixture's routes end after 1 s. A stream is silent after four event gaps of 100 ms, a plain server after two target latencies of 300 ms.
constexpr auto StreamSilence = 650ms;
constexpr auto PlainSilence = 900ms;

const QByteArray StreamHead = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const QByteArray PlainAnswer = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone";
const QByteArray Refusal = "HTTP/1.1 503 Service Unavailable\r\nId: request-1\r\nSeal: s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const QByteArray FirstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const QByteArray LastEvent = "id: 3\ndata: c\n\n";
const QByteArray Comment = ": comment\n\n";

QByteArray asChunk(const QByteArray &body)
{
    return QByteArray::number(body.size(), 16) + "\r\n" + body + "\r\n";
}

void writeLater(QTcpSocket *socket, std::chrono::milliseconds delay, const QByteArray &bytes)
{
    QTimer::singleShot(delay, socket, [socket, bytes] {
        socket->write(bytes);
    });
}

/// Why another server can't, or may not, take the request over.
struct Obstacle
{
    std::string name;
    double retryRatio;
    bool hasOther; ///< whether a second server is listed
    std::vector<net::Header> headers;
};

const std::vector<Obstacle> Obstacles = {{"no retry left", 0, true, {}},
                                         {"no other server", 2, false, {}},
                                         {"the software version that began the stream has no other server", 2, true, {{"Model", "m"}}}};

/// A gateway before a sound server that falls silent, and maybe another one that answers at once.
class SilentServer
{
public:
    /// @param isStream whether the first server sends a stream that pauses in the middle, rather than a plain answer that comes late
    SilentServer(bool isStream, const Obstacle &obstacle)
        : first([this, isStream](QTcpSocket *socket, const QByteArray &request) {
            if (request.contains("After: 2\r\n")) {
                socket->write(StreamHead + asChunk(LastEvent) + "0\r\n\r\n");
                return;
            }
            QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] {
                ++closed;
            });
            if (!isStream) {
                writeLater(socket, PlainSilence, PlainAnswer);
                return;
            }
            socket->write(StreamHead + asChunk(FirstEvents));
            writeLater(socket, StreamSilence, asChunk(LastEvent) + "0\r\n\r\n");
        })
        , other([this, isStream](QTcpSocket *socket, const QByteArray &request) {
            QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] {
                ++otherClosed;
            });
            if (refusals > 0) {
                --refusals;
                socket->write(Refusal);
                return;
            }
            if (respondOther) {
                respondOther(socket);
                return;
            }
            const QByteArray events = request.contains("After: 2\r\n") ? LastEvent : FirstEvents + LastEvent;
            socket->write(isStream ? StreamHead + asChunk(events) + "0\r\n\r\n" : PlainAnswer);
        })
        , gateway(
              [](const std::shared_ptr<net::Exchange> &, int) {
              },
              true,
              [&](GatewayFixture &it, GatewayOptions &options) {
                  options.retries = {.ratio = obstacle.retryRatio, .window = 10s};
                  it.store.put("servers", "a", first.address() + " 1 x");
                  it.store.put("servers", "b", std::nullopt);
              })
    {
        gateway.extraHeaders = obstacle.headers;
        otherSoftware = obstacle.headers.empty() ? "x" : "y";
        if (obstacle.hasOther) {
            listOther(200ms);
        }
    }

    /// Lists the other server after a time in which the request has reached the first one.
    void listOther(std::chrono::milliseconds delay)
    {
        QTimer::singleShot(delay, &m_context, [this] {
            gateway.store.put("servers", "b", other.address() + " 1 " + otherSoftware);
        });
    }

    int closed = 0; ///< connections to the first server that ended
    int otherClosed = 0; ///< connections to the other server that ended
    std::function<void(QTcpSocket *socket)> respondOther; ///< what the other server does in place of its answer; optional
    int refusals = 0; ///< requests that the other server refuses before it answers
    QByteArray otherSoftware;
    RawServer first;
    RawServer other;
    GatewayFixture gateway;

private:
    QObject m_context;
};

/// What becomes of a request that was sent to the other server because the first one is silent.
struct Failure
{
    std::string name;
    int refusals; ///< of the other server
    std::function<void(QTcpSocket *socket)> respondOther;
};

const Failure Refused = {"refused", 100, nullptr};
const Failure Closed = {"closed without an answer", 0, [](QTcpSocket *socket) {
                            socket->disconnectFromHost();
                        }};
const Failure Unanswered = {"unanswered", 0, [](QTcpSocket * /*socket*/) {
                            }};
const Failure TooMany = {"turned away without a word whether it has run", 0, [](QTcpSocket *socket) {
                             socket->write("HTTP/1.1 429 Too Many Requests\r\nId: request-1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n");
                         }};
const Failure CommentOnly = {"answered with nothing but a comment", 0, [](QTcpSocket *socket) {
                                 socket->write(StreamHead + asChunk(Comment));
                                 socket->disconnectFromHost();
                             }};
const Failure HeadOnly = {"answered with nothing but a head", 0, [](QTcpSocket *socket) {
                              socket->write(StreamHead);
                          }};

} // namespace

// Guards against a stream that is cut for its caller though its server is sound: a silence ended the call before it was known whether another server may go on
// with the stream (LOST).
TEST_CASE("a stream whose sound server falls silent goes on there when no other server may take it up")
{
    for (const Obstacle &obstacle : Obstacles) {
        CAPTURE(obstacle.name);
        SilentServer it(true, obstacle);
        const auto result = it.gateway.sendRequest("/stream/x");
        CHECK(result.failure == net::HttpFailure::None);
        CHECK(result.body == FirstEvents + LastEvent);
        const nlohmann::json &line = it.gateway.lastLine("request");
        CHECK(line["outcome"] == "served");
        CHECK(line["attempts"].at(0).value("kept_despite", "") == "answer went silent"); // the log tells why the stream stood still
        CHECK(it.first.requests() == 1);
        CHECK(it.other.requests() == 0);
    }
}

// Guards against a 502 for a request whose server is about to answer: a silence ended the call before it was known whether another server may run it.
TEST_CASE("a plain request whose sound server falls silent is answered by it when no other server may run it")
{
    for (const Obstacle &obstacle : {Obstacles[0], Obstacles[1]}) {
        CAPTURE(obstacle.name);
        SilentServer it(false, obstacle);
        const auto result = it.gateway.sendRequest("/safe/x");
        CHECK(result.head.status == 200);
        CHECK(result.body == "done");
        CHECK(it.first.requests() == 1);
        CHECK(it.other.requests() == 0);
    }
}

// Guards against a stream that stays with a server that is gone: the one that may take it up is listed only after the silence was noticed.
TEST_CASE("a silent stream is taken up as soon as another server may go on with it")
{
    SilentServer it(true, Obstacle{"listed late", 2, false, {}});
    it.listOther(500ms);
    const auto result = it.gateway.sendRequest("/stream/x");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
    CHECK(it.other.requests() == 1);
    CHECK(it.closed == 1);
}

// Guards against a stream that is cut, or a 502, though servers are free: the one that was to take over refused, and that counted as one of the servers on
// which the request may run.
TEST_CASE("a request that left a silent server and is refused by the next one goes on to a third")
{
    for (const bool isStream : {true, false}) {
        CAPTURE(isStream);
        SilentServer it(isStream, Obstacle{"refused once", 4, true, {}});
        it.refusals = 1;
        QTimer::singleShot(200ms, &it.gateway.client, [&it] {
            it.gateway.store.put("servers", "c", it.other.address() + " 1 x");
        });
        const auto result = it.gateway.sendRequest(isStream ? "/stream/x" : "/safe/x");
        CHECK(result.head.status == 200);
        CHECK(result.failure == net::HttpFailure::None);
        CHECK(result.body == (isStream ? FirstEvents + LastEvent : QByteArray("done")));
        CHECK(it.first.requests() == 1);
        CHECK(it.other.requests() == 2);
    }
}

// Guards against a stream that is cut though its server is sound: its call was ended when the rest was asked of another server, and that one didn't give it
// (LOST).
TEST_CASE("a stream whose sound server falls silent goes on there when the server that is asked for the rest does not give it")
{
    for (const Failure &failure : {Refused, Closed, Unanswered, HeadOnly, CommentOnly}) {
        CAPTURE(failure.name);
        SilentServer it(true, Obstacle{"none", 4, true, {}});
        it.refusals = failure.refusals;
        it.respondOther = failure.respondOther;
        const auto result = it.gateway.sendRequest("/stream/x");
        CHECK(result.failure == net::HttpFailure::None);
        CHECK(QByteArray(result.body).replace(Comment, "") == FirstEvents + LastEvent); // comments between events are passed on
        CHECK(it.gateway.lastLine("request")["outcome"] == "served");
        CHECK(it.first.requests() == 1);
        CHECK(it.other.requests() >= 1);
        const bool isConnectionKept = failure.refusals > 0;
        CHECK((isConnectionKept || runUntil([&] {
                   return it.otherClosed == it.other.requests();
               })));
    }
}

// Guards against a 502 for a request whose server is about to answer: its call was ended when another server was asked, and that one didn't answer it.
TEST_CASE("a plain request whose sound server falls silent is answered by it when the server that is asked next does not answer")
{
    for (const Failure &failure : {Refused, Closed, Unanswered, TooMany}) {
        CAPTURE(failure.name);
        SilentServer it(false, Obstacle{"none", 4, true, {}});
        it.refusals = failure.refusals;
        it.respondOther = failure.respondOther;
        const auto result = it.gateway.sendRequest("/safe/x");
        CHECK(result.head.status == 200);
        CHECK(result.body == "done");
        CHECK(it.first.requests() == 1);
        CHECK(it.other.requests() >= 1);
    }
}

// Guards against work for a caller who has left: of two servers that were asked, only one is told (GONE).
TEST_CASE("a caller who leaves while two servers are asked ends the request at both")
{
    SilentServer it(true, Obstacle{"none", 4, true, {}});
    it.respondOther = Unanswered.respondOther;
    RawCaller caller(it.gateway.callerAddress);
    caller.send(requestText("/stream/x", "body"));
    REQUIRE(runUntil([&it] {
        return it.other.requests() == 1;
    }));
    CHECK(it.closed == 0);
    caller.close();
    CHECK(runUntil(
        [&it] {
            return it.closed == 1 && it.otherClosed == 1;
        },
        100ms));
}
