#include "gatewayfixture.h"

#include "auburndrum/gateway/relaymessages.h"
#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

#include <sys/socket.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// Guards against a head that ends early and is taken for a whole one: callers got a success with an empty or short body, framed as whole (MIXED, ORDER).

namespace {

enum class Ending {
    Close,
    Reset,
    Silence,
};

const QByteArray WithLength = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Length: 4\r\n\r\n";
const QByteArray ToTheEnd = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\n\r\n";
const QByteArray Chunked = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const QByteArray EventStream = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n";

void write(QTcpSocket *socket, const QByteArray &bytes, Ending ending)
{
    socket->write(bytes);
    socket->flush();
    if (ending == Ending::Silence) {
        return;
    }
    QTimer::singleShot(2ms, socket, [socket, ending] {
        if (ending == Ending::Close) {
            socket->disconnectFromHost();
            return;
        }
        const linger now{1, 0};
        ::setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        socket->abort();
    });
}

/// A gateway before a server that ends inside the head of each answer, and maybe a sound one.
class CutServer
{
public:
    CutServer(const QByteArray &bytes, Ending ending, bool hasSoundServer)
        : server([bytes, ending](QTcpSocket *socket, const QByteArray & /*request*/) {
            write(socket, bytes, ending);
        })
        , gateway(
              [](const std::shared_ptr<net::Exchange> &exchange, int) {
                  exchange->respond(200, {{"Id", "request-1"}, {"Seal", "s"}}, "done");
              },
              true,
              [this, hasSoundServer](GatewayFixture &it, GatewayOptions &options) {
                  options.retries.ratio = 2; // a repeat for each request
                  it.store.put("servers", "a", server.address());
                  if (!hasSoundServer) {
                      it.store.put("servers", "b", std::nullopt);
                  }
              })
    {
    }

    RawServer server;
    GatewayFixture gateway;
};

/// Calls `check` with each beginning of each head.
void forEachBeginning(const std::function<void(const QByteArray &)> &check)
{
    for (const QByteArray &head : {WithLength, EventStream}) {
        for (qsizetype n = 0; n < head.size(); ++n) {
            check(head.left(n));
        }
    }
    for (const QByteArray &head : {ToTheEnd, Chunked}) {
        for (qsizetype n = head.size() - 4; n < head.size(); ++n) {
            check(head.left(n));
        }
    }
}

} // namespace

TEST_CASE("an answer that ends at any byte of its head is no success, and the request goes to another server where it may run again")
{
    for (const Ending ending : {Ending::Close, Ending::Reset}) {
        forEachBeginning([ending](const QByteArray &bytes) {
            CAPTURE(bytes.toStdString());
            CutServer alone(bytes, ending, false);
            for (const QByteArray route : {"/once/x", "/stream/x"}) {
                CHECK(alone.gateway.sendRequest(route).head.status == 502);
            }
            CutServer beside(bytes, ending, true);
            const auto result = beside.gateway.sendRequest("/safe/x");
            CHECK(result.head.status == 200);
            CHECK(result.body == "done");
        });
    }
}

TEST_CASE("a head that ends early after an interim answer, or after an earlier answer on the connection, is no success")
{
    for (const Ending ending : {Ending::Close, Ending::Reset}) {
        for (qsizetype n = 0; n < WithLength.size(); n += 3) {
            CAPTURE(n);
            CutServer interim("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + WithLength.left(n), ending, false);
            CHECK(interim.gateway.sendRequest("/once/x").head.status == 502);
            CutServer foreign("HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno" + WithLength.left(n), ending, false);
            CHECK(foreign.gateway.sendRequest("/once/x").head.status == 502);
        }
    }
}

TEST_CASE("a server that goes silent inside its head gives no answer until the request's time is over")
{
    for (const qsizetype n : {qsizetype{0}, qsizetype{1}, qsizetype{9}, qsizetype{17}, qsizetype{40}, WithLength.size() - 1}) {
        CAPTURE(n);
        CutServer it(WithLength.left(n), Ending::Silence, false);
        it.gateway.extraHeaders = {{"Patience", "200"}};
        const Instant begin = monotonicNow();
        CHECK(it.gateway.sendRequest("/once/x").head.status == 504);
        CHECK(monotonicNow() - begin < 700ms);
    }
}

TEST_CASE("a take-up whose answer ends inside the head doesn't end the stream")
{
    for (qsizetype n = 0; n < EventStream.size(); n += 5) {
        CAPTURE(n);
        CutServer it(EventStream.left(n), Ending::Close, false);
        it.gateway.extraHeaders = {{"Last", "1"}, {"Resumes", "earlier"}};
        CHECK(it.gateway.sendRequest("/stream/x").head.status >= 500);
    }
}

TEST_CASE("another VM's answer that ends at any byte of its head is no success")
{
    for (const Ending ending : {Ending::Close, Ending::Reset}) {
        for (qsizetype n = 0; n < WithLength.size(); n += 2) {
            CAPTURE(n);
            RawServer other([n, ending](QTcpSocket *socket, const QByteArray & /*request*/) {
                write(socket, WithLength.left(n), ending);
            });
            GatewayFixture it(
                [](const std::shared_ptr<net::Exchange> &, int) {
                },
                true,
                [&other](GatewayFixture &fixture, GatewayOptions &options) {
                    options.entryTopic = "entries";
                    options.peerAddress = {QHostAddress(QStringLiteral("127.0.0.1")), 0};
                    // Nothing listens there: the VM reaches no server and passes requests on.
                    fixture.store.put("servers", "a", "127.0.0.1:1");
                    fixture.store.put("servers", "b", std::nullopt);
                    fixture.store.put(
                        "entries", "other", QByteArray::fromStdString(toJson(decision::EntryVm{"other", other.address().toStdString(), "zone", 100})));
                });
            REQUIRE(runUntil([&it] {
                return it.hasLogged("entry_vms");
            }));
            CHECK(it.sendRequest("/once/x").head.status == 502);
            CHECK(other.requests() == 1);
        }
    }
}
