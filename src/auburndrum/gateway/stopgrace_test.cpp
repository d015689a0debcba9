#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawcaller.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds WorkTime{900};
constexpr std::chrono::milliseconds SoonEnough{300}; // for a refusal of a request that can't end in time

/// A caller whose connection was open, and its request half sent, when the stop began.
struct SlowCaller
{
    SlowCaller(const net::Address &gateway, int number)
        : text(requestText("/slow/x", "body", "slow-" + QByteArray::number(number)))
        , socket(gateway)
    {
        socket.send(text.left(text.size() / 2));
    }

    void sendRest()
    {
        socket.send(text.mid(text.size() / 2));
        sentAt = monotonicNow();
    }

    void read()
    {
        answer += socket.readAll();
        if (!answer.isEmpty() && !answeredAt) {
            answeredAt = monotonicNow();
        }
    }

    QByteArray text;
    QByteArray answer;
    std::optional<Instant> sentAt;
    std::optional<Instant> answeredAt;
    RawCaller socket;
};

} // namespace

TEST_CASE("in a planned stop each request that was read gets a whole answer, or is refused at once as not run, whenever its last byte comes")
{
    // Guards against requests that are taken late in the grace and cut at its end: a connection with a request half read is not idle, and nothing asked
    // whether what came could still end (LOST).
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &exchange, int) {
        QTimer::singleShot(WorkTime, [exchange] {
            exchange->respond(200, {{"Id", exchange->header("Attempt")}, {"Seal", "s"}}, "done");
        });
    });
    REQUIRE(it.sendRequest("/slow/x").head.status == 200); // shows how long such requests take
    std::vector<std::unique_ptr<SlowCaller>> callers;
    callers.reserve(40);
    for (int n = 0; n < 40; ++n) { // the last ones are still sending when the grace of 4 s ends
        callers.push_back(std::make_unique<SlowCaller>(it.callerAddress, n));
    }
    runFor(100ms);
    bool isStopped = false;
    it.gateway->stop([&] {
        isStopped = true;
    });
    QTimer poll;
    std::size_t next = 0;
    QObject::connect(&poll, &QTimer::timeout, &poll, [&] {
        for (const auto &caller : callers) {
            caller->read();
        }
    });
    poll.start(10ms);
    QTimer sending;
    QObject::connect(&sending, &QTimer::timeout, &sending, [&] {
        if (!isStopped && next < callers.size()) {
            callers[next++]->sendRest();
        }
    });
    sending.start(100ms);
    REQUIRE(runUntil(
        [&] {
            return isStopped;
        },
        5s));
    it.gateway.reset(); // the process is gone
    runFor(50ms);
    std::size_t served = 0;
    for (std::size_t n = 0; n < callers.size(); ++n) {
        CAPTURE(n);
        const SlowCaller &caller = *callers[n];
        const bool isServed = caller.answer.startsWith("HTTP/1.1 200") && caller.answer.endsWith("\r\n\r\ndone");
        const bool isTooSlow = caller.answer.startsWith("HTTP/1.1 408");
        const bool isRefused = caller.answer.startsWith("HTTP/1.1 503") || isTooSlow;
        const bool isAnswered = isServed || isRefused;
        CAPTURE(caller.answer.toStdString());
        CHECK(isAnswered);
        served += isServed ? 1 : 0;
        if (isRefused && caller.sentAt && caller.answeredAt) {
            CHECK(*caller.answeredAt - *caller.sentAt < SoonEnough);
        }
    }
    CHECK(served >= 20); // those that end in time are served
    CHECK(it.receivedRequests.size() == served + 1); // a request that was refused has not run
}

// Guards against requests that are taken late in a planned stop since the latest of their route were short, and are cut at its end, though another VM could
// have served them (LOST).
TEST_CASE("a request that comes once the balancer has taken the VM out is refused at once if its time is longer than the rest of the stop")
{
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &exchange, int attempt) {
        if (attempt == 1) {
            exchange->respond(200, {{"Id", exchange->header("Attempt")}, {"Seal", "s"}}, "done");
        }
    });
    REQUIRE(it.sendRequest("/slow/x").head.status == 200); // shows how short such requests are
    SlowCaller caller(it.callerAddress, 1);
    runFor(50ms);
    it.gateway->stop([] {
    });
    runFor(2800ms);
    caller.sendRest();
    REQUIRE(runUntil([&] {
        caller.read();
        return caller.answeredAt.has_value();
    }));
    CHECK(caller.answer.startsWith("HTTP/1.1 503"));
    CHECK(*caller.answeredAt - *caller.sentAt < SoonEnough);
    CHECK(it.receivedRequests.size() == 1);
}

TEST_CASE("a request that still runs when the grace ends gets a final answer")
{
    // Guards against callers that see a connection close and can't know whether anybody works for them (LOST).
    GatewayFixture it(
        [](const std::shared_ptr<net::Exchange> &, int) {
        },
        true,
        [](GatewayFixture &, GatewayOptions &options) {
            options.stopGrace = 1200ms;
        });
    RawCaller caller(it.callerAddress);
    caller.send(requestText("/once/x", "body"));
    REQUIRE(runUntil([&] {
        return it.receivedRequests.size() == 1;
    }));
    bool isStopped = false;
    it.gateway->stop([&] {
        isStopped = true;
    });
    REQUIRE(runUntil(
        [&] {
            return isStopped;
        },
        1200ms));
    it.gateway.reset();
    runFor(50ms);
    CHECK(caller.readAll().startsWith("HTTP/1.1 504"));
}

// Guards against resets that no line explains: the operating system drops a handshake that is half done when the listener closes.
TEST_CASE("a planned stop logs when it accepts no more connections")
{
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &, int) {
    });
    bool isStopped = false;
    it.gateway->stop([&] {
        isStopped = true;
    });
    REQUIRE(runUntil([&] {
        return isStopped;
    }));
    REQUIRE(it.hasLogged("listener_closed"));
    CHECK_FALSE(it.hasLogged("listener_closed", 2));
    CHECK(it.lastLine("listener_closed")["stop_ms"] >= 2600);
    CHECK(it.lastLine("listener_closed")["accepted"] == 0);
}

// Guards against a process that ends under its open requests: settings that were changed during a stop shortened the time until the exit, and not the time at
// which the requests get their final answers (LOST).
TEST_CASE("a reload with a shorter grace doesn't end a planned stop under its open requests")
{
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &exchange, int) {
        QTimer::singleShot(3s, [exchange] {
            exchange->respond(200, {{"Id", exchange->header("Attempt")}, {"Seal", "s"}}, "done");
        });
    });
    RawCaller caller(it.callerAddress);
    caller.send(requestText("/slow/x", "body"));
    REQUIRE(runUntil([&] {
        return it.receivedRequests.size() == 1;
    }));
    bool isStopped = false;
    it.gateway->stop([&] {
        isStopped = true;
    });
    GatewayOptions shorter;
    shorter.stopGrace = 1s;
    it.gateway->reload(shorter);
    REQUIRE(runUntil([&] {
        return isStopped;
    }));
    it.gateway.reset(); // the process is gone
    CHECK(caller.readAll().startsWith("HTTP/1.1 200"));
}

// Guards against a request that meets the close of its new connection: a planned stop allowed it less time than a lost packet takes (LOST).
TEST_CASE("a connection that is accepted last in a planned stop has a second for its first request")
{
    GatewayFixture it([](const std::shared_ptr<net::Exchange> &, int) {
    });
    it.gateway->stop([] {
    });
    runFor(2550ms);
    RawCaller caller(it.callerAddress);
    runFor(800ms);
    caller.send(requestText("/slow/x", "body"));
    runFor(100ms);
    CHECK(caller.readAll().startsWith("HTTP/1.1 503"));
}

// Guards against callers who find no VM at all while many stop at once: the balancer still sends them to a VM that waits for its last answers, and its port was
// closed.
TEST_CASE("while earlier requests keep a VM in a planned stop, it answers new callers, too")
{
    GatewayFixture it(
        [](const std::shared_ptr<net::Exchange> &exchange, int attempt) {
            QTimer::singleShot(attempt == 1 ? 4500ms : 10ms, [exchange] {
                exchange->respond(200, {{"Id", exchange->header("Attempt")}, {"Seal", "s"}}, "done");
            });
        },
        true,
        [](GatewayFixture &, GatewayOptions &options) {
            options.stopGrace = 8s;
        });
    RawCaller first(it.callerAddress);
    first.send(requestText("/slow/x", "body"));
    REQUIRE(runUntil([&] {
        return it.receivedRequests.size() == 1;
    }));
    bool isStopped = false;
    it.gateway->stop([&] {
        isStopped = true;
    });
    runFor(3s);
    RawCaller brief(it.callerAddress);
    RawCaller tooLong(it.callerAddress);
    REQUIRE(brief.isConnected());
    REQUIRE(tooLong.isConnected());
    brief.send(requestText("/once/x", "body", "request-2"));
    tooLong.send(requestText("/slow/x", "body", "request-3"));
    runFor(300ms);
    CHECK(brief.readAll().startsWith("HTTP/1.1 200"));
    CHECK(brief.hasEnded());
    CHECK(tooLong.readAll().startsWith("HTTP/1.1 503"));
    CHECK_FALSE(it.hasLogged("listener_closed"));
    REQUIRE(runUntil([&] {
        return isStopped;
    }));
    CHECK(it.hasLogged("listener_closed"));
    CHECK(it.lastLine("listener_closed")["stop_ms"] < 5000); // nobody keeps it any longer
    it.gateway.reset();
    CHECK(first.readAll().startsWith("HTTP/1.1 200"));
}

// Guards against connections that are accepted so late in a planned stop that it ends before their first request has arrived (LOST).
TEST_CASE("a planned stop that lasts to its end accepts no more connections in the last second")
{
    GatewayFixture it(
        [](const std::shared_ptr<net::Exchange> &, int) {
        },
        true,
        [](GatewayFixture &, GatewayOptions &options) {
            options.stopGrace = 5s;
        });
    RawCaller caller(it.callerAddress);
    caller.send(requestText("/slow/x", "body"));
    REQUIRE(runUntil([&] {
        return it.receivedRequests.size() == 1;
    }));
    bool isStopped = false;
    it.gateway->stop([&] {
        isStopped = true;
    });
    REQUIRE(runUntil([&] {
        return isStopped;
    }));
    const int closedAfter = it.lastLine("listener_closed")["stop_ms"];
    CHECK(closedAfter >= 3500); // open requests end after 4.5 s
    CHECK(closedAfter < 4500);
    it.gateway.reset();
    CHECK(caller.readAll().startsWith("HTTP/1.1 504"));
}
