#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawcaller.h"

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <set>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto NoticeTime = 500ms; // after which nothing of a request may reach a server whose caller has left

/// A backend server with little room for unread bytes that reads only when it is told to.
class UnreadServer
{
public:
    UnreadServer()
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        constexpr int LeastBytes = 1024;
        ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &LeastBytes, sizeof(LeastBytes));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
        REQUIRE(::listen(m_listener, 8) == 0);
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_address = {QHostAddress(QStringLiteral("127.0.0.1")), ntohs(address.sin_port)};
    }
    ~UnreadServer()
    {
        ::close(m_listener);
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
        }
    }

    UnreadServer(const UnreadServer &) = delete;
    UnreadServer &operator=(const UnreadServer &) = delete;

    QByteArray address() const
    {
        return QByteArray::fromStdString(net::toText(m_address));
    }
    bool accept()
    {
        if (m_descriptor < 0) {
            m_descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        }
        return m_descriptor >= 0;
    }
    /// Reads until the connection ends or `limit` has passed; returns what arrived.
    QByteArray readToEnd(std::chrono::milliseconds limit)
    {
        QByteArray all;
        runUntil(
            [&] {
                std::array<char, 512> buf;
                const ssize_t n = ::recv(m_descriptor, buf.data(), buf.size(), 0);
                if (n > 0) {
                    all.append(buf.data(), n);
                }
                return n == 0 || (n < 0 && errno != EAGAIN);
            },
            limit);
        return all;
    }

private:
    int m_listener;
    int m_descriptor = -1;
    net::Address m_address;
};

bool isLastOutcome(const GatewayFixture &fixture, const std::string &outcome)
{
    return fixture.hasLogged("request") && fixture.lastLine("request")["outcome"] == outcome;
}

void answer(const std::shared_ptr<net::Exchange> &it)
{
    it->respond(200, {{"Id", it->header("Attempt")}, {"Seal", "s"}}, "answer");
}

void answerLater(const std::shared_ptr<net::Exchange> &it)
{
    QTimer::singleShot(50ms, [it] {
        answer(it);
    });
}

/// Serves requests at the same time until each server has had one, so that connections to all are open; returns how many there were.
std::size_t openConnectionsToAll(GatewayFixture &fixture)
{
    std::array<RawCaller, 4> callers
        = {RawCaller(fixture.callerAddress), RawCaller(fixture.callerAddress), RawCaller(fixture.callerAddress), RawCaller(fixture.callerAddress)};
    for (RawCaller &it : callers) {
        it.send(requestText("/safe/x", "body"));
    }
    REQUIRE(runUntil([&] {
        return fixture.hasLogged("request", static_cast<int>(callers.size()));
    }));
    std::set<QByteArray> servers;
    for (const auto &it : fixture.receivedRequests) {
        servers.insert(it->header("Server"));
    }
    REQUIRE(servers.size() == 2);
    return fixture.receivedRequests.size();
}

/// Puts an unread server in the place of both of the fixture's.
GatewayFixture::Preparation before(const UnreadServer &server)
{
    return [&server](GatewayFixture &fixture, GatewayOptions &) {
        fixture.store.put("servers", "a", server.address());
        fixture.store.put("servers", "b", server.address());
    };
}

} // namespace

// Guards against requests that reach servers after their callers left: an event loop that lags reads a request and its caller's close in one turn, and the
// request, which is read first, was sent on before the close was seen.
TEST_CASE("a request is not sent when its caller closed the connection before it was read")
{
    GatewayFixture fixture([](const std::shared_ptr<net::Exchange> &it, int) {
        answerLater(it);
    });
    QByteArray behind;
    bool resets = false;
    SUBCASE("with nothing unread before the close")
    {
    }
    SUBCASE("with the beginning of a further request before the close")
    {
        behind = "POST /safe/x HTTP/1.1\r\nHo";
    }
    SUBCASE("with a whole further request before the close")
    {
        behind = requestText("/once/x", "second", "request-2");
    }
    SUBCASE("with a reset")
    {
        resets = true;
    }
    const std::size_t before = openConnectionsToAll(fixture);
    RawCaller caller(fixture.callerAddress);
    REQUIRE(caller.isConnected());
    caller.send(requestText("/safe/x", "body") + behind);
    resets ? caller.reset() : caller.close();
    runFor(300ms);
    CHECK(fixture.receivedRequests.size() == before);
}

// Guards against a repeat for a caller that left while the request waited: the refusal of the first server and the caller's close are handled in one turn.
TEST_CASE("a request is not repeated when its caller left before the first server's refusal")
{
    std::unique_ptr<RawCaller> caller;
    GatewayFixture fixture([&](const std::shared_ptr<net::Exchange> &it, int) {
        if (!caller) {
            answerLater(it);
            return;
        }
        caller->close();
        it->respond(503, {{"Id", it->header("Attempt")}, {"Not-Run", "1"}}, {});
    });
    const std::size_t before = openConnectionsToAll(fixture);
    caller = std::make_unique<RawCaller>(fixture.callerAddress);
    caller->send(requestText("/safe/x", "body"));
    CHECK(runUntil([&] {
        return isLastOutcome(fixture, "caller_gone");
    }));
    CHECK(fixture.receivedRequests.size() == before + 1);
}

// Guards against bytes that reach a server long after their caller left: they waited in the connection's send buffer, which an orderly close still empties.
TEST_CASE("bytes of a request that wait for a slow server are dropped when the caller leaves")
{
    UnreadServer server;
    GatewayFixture fixture(
        [](const std::shared_ptr<net::Exchange> &, int) {
        },
        true,
        before(server));
    RawCaller caller(fixture.callerAddress);
    const QByteArray body(12000, 'b');
    caller.send(requestText("/once/x", body));
    REQUIRE(runUntil([&] {
        return server.accept();
    }));
    runFor(50ms);
    caller.close();
    REQUIRE(runUntil(
        [&] {
            return isLastOutcome(fixture, "caller_gone");
        },
        NoticeTime));
    CHECK(server.readToEnd(NoticeTime).count('b') < body.size());
}

// Guards against servers that work on for callers that left: the socket's read buffer was full, so that the close behind its bytes was never read.
TEST_CASE("a close is noticed behind bytes that are not read")
{
    const UnreadServer server;
    GatewayFixture fixture(
        [](const std::shared_ptr<net::Exchange> &, int) {
        },
        true,
        before(server));
    RawCaller caller(fixture.callerAddress);
    QByteArray bytes;
    SUBCASE("of a further request")
    {
        bytes = requestText("/once/x", "body") + requestText("/once/x", QByteArray(400'000, 'b'), "request-2");
    }
    SUBCASE("of a body that the server doesn't read")
    {
        bytes = requestText("/once/x", QByteArray(4'000'000, 'b'));
    }
    caller.send(bytes);
    runFor(200ms); // as many of them are read as there is room for
    caller.reset(); // an orderly close would wait at the caller, behind bytes for which there is no room
    CHECK(runUntil(
        [&] {
            return isLastOutcome(fixture, "caller_gone");
        },
        NoticeTime));
}

// Guards against streams that go on for callers that left: while bytes of the response waited to be written, the connection only counted as closing.
TEST_CASE("a close is noticed while the caller has not read the response")
{
    std::shared_ptr<net::Exchange> stream;
    GatewayFixture fixture([&](const std::shared_ptr<net::Exchange> &it, int) {
        stream = it;
        it->startStream(200, {{"Id", it->header("Attempt")}, {"Seal", "s"}});
        for (int n = 1; n <= 40; ++n) {
            it->writeChunk("id: " + QByteArray::number(n) + "\ndata: " + QByteArray(200'000, 'e') + "\n\n");
        }
    });
    RawCaller caller(fixture.callerAddress);
    caller.send(requestText("/stream/x", "body"));
    REQUIRE(runUntil([&] {
        return stream != nullptr;
    }));
    runFor(300ms);
    caller.closeSending();
    CHECK(runUntil(
        [&] {
            return isLastOutcome(fixture, "caller_gone");
        },
        NoticeTime));
}

// Guards against a search for callers that left that drops callers that stay.
TEST_CASE("a caller that stays is served")
{
    GatewayFixture fixture([](const std::shared_ptr<net::Exchange> &it, int) {
        answerLater(it);
    });
    RawCaller caller(fixture.callerAddress);
    QByteArray received;
    int answers = 1;
    SUBCASE("when it pauses inside its request")
    {
        const QByteArray request = requestText("/once/x", "body");
        caller.send(request.left(request.size() - 2));
        runFor(300ms);
        caller.send(request.right(2));
    }
    SUBCASE("when it sends further requests meanwhile, more than are read ahead")
    {
        answers = 3;
        const QByteArray large(60'000, 'b');
        caller.send(requestText("/once/x", "body", "r1") + requestText("/once/x", large, "r2") + requestText("/once/x", large, "r3"));
    }
    CHECK(runUntil([&] {
        received += caller.readAll();
        return received.count("answer") == answers;
    }));
}
