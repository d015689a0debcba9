#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawcaller.h"

#include <doctest/doctest.h>

#include <thread>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// Planned stops while the event loop runs late.

namespace {

/// A gateway whose servers never answer, and whose event loop can be made late.
struct LateStop
{
    explicit LateStop(std::chrono::milliseconds grace)
        : fixture(
            [](const std::shared_ptr<net::Exchange> &, int) {
            },
            true,
            [grace](GatewayFixture &, GatewayOptions &options) {
                options.stopGrace = grace;
            })
    {
    }

    /// Sends a request that is still open when the stop ends.
    void sendRequest(RawCaller &caller)
    {
        caller.send(requestText("/slow/x", "body"));
        REQUIRE(runUntil([this] {
            return fixture.receivedRequests.size() == 1;
        }));
    }

    void stop(std::function<void()> onStopped)
    {
        fixture.gateway->stop([this, onStopped = std::move(onStopped)] {
            onStopped();
            isStopped = true;
        });
    }

    /// Blocks the event loop from one time after now until another.
    void block(std::chrono::milliseconds from, std::chrono::milliseconds until, std::function<void()> onEnd = {})
    {
        const Instant end = monotonicNow() + until;
        QTimer::singleShot(from, Qt::PreciseTimer, [end, onEnd = std::move(onEnd)] {
            std::this_thread::sleep_until(end);
            if (onEnd) {
                onEnd();
            }
        });
    }

    GatewayFixture fixture;
    bool isStopped = false;
};

} // namespace

// Guards against a process that ends with requests unanswered: when the loop was late, the timer that ends the process ran before those that end the requests,
// and an answer that was written then was still in the process (LOST).
TEST_CASE("a process whose event loop ran late at the end of a planned stop has answered each request before it ends")
{
    LateStop it(1200ms);
    RawCaller caller(it.fixture.callerAddress);
    it.sendRequest(caller);
    QByteArray answer;
    it.stop([&] {
        answer = caller.readAll();
    });
    it.block(600ms, 1100ms);
    REQUIRE(runUntil([&] {
        return it.isStopped;
    }));
    CHECK(answer.startsWith("HTTP/1.1 504"));
    CHECK(it.fixture.hasLogged("request"));
}

// Guards against requests that arrived while the loop was late, and are dropped unread by the end of the process.
TEST_CASE(
    "a request that arrives while the event loop is late at the end of a planned stop is refused, whether its connection had sent a part before or nothing")
{
    for (const qsizetype sentBefore : {20, 0}) {
        CAPTURE(sentBefore);
        LateStop it(1200ms);
        RawCaller caller(it.fixture.callerAddress);
        const QByteArray text = requestText("/slow/x", "body");
        caller.send(text.left(sentBefore));
        runFor(50ms);
        it.stop([] {
        });
        it.block(600ms, 1100ms, [&] {
            caller.send(text.mid(sentBefore));
        });
        REQUIRE(runUntil([&] {
            return it.isStopped;
        }));
        it.fixture.gateway.reset(); // the process is gone
        CHECK(caller.readAll().startsWith("HTTP/1.1 503"));
        CHECK(it.fixture.receivedRequests.empty());
    }
}

// Guards against a grace that counts from the time at which a late loop sees the signal: the process is killed before the stop's end (LOST).
TEST_CASE("the grace of a planned stop counts from the signal, also where the event loop is late when it comes")
{
    LateStop it(3s);
    RawCaller caller(it.fixture.callerAddress);
    it.sendRequest(caller);
    runFor(300ms); // until the loop was seen on time
    const Instant signalAt = monotonicNow();
    std::this_thread::sleep_for(800ms);
    it.stop([] {
    });
    QByteArray answer;
    CHECK(runUntil(
        [&] {
            answer += caller.readAll();
            return !answer.isEmpty();
        },
        std::chrono::floor<std::chrono::milliseconds>(signalAt + 3s - monotonicNow())));
    CHECK(answer.startsWith("HTTP/1.1 504"));
}

// Guards against requests that are cut at once in a stop after a pause of the process: the signal may have come at its end.
TEST_CASE("a pause of the process before a planned stop takes little of the grace")
{
    LateStop it(3s);
    RawCaller caller(it.fixture.callerAddress);
    it.sendRequest(caller);
    std::this_thread::sleep_for(2500ms);
    it.stop([] {
    });
    runFor(1500ms);
    CHECK(caller.readAll().isEmpty());
}

// Guards against a process that is killed with requests unanswered: the margin before that was the same where the loop had been late by more (LOST).
TEST_CASE("the later the event loop has run lately, the earlier open requests end in a planned stop")
{
    LateStop it(6s);
    std::this_thread::sleep_for(500ms);
    runFor(300ms); // until the lag was measured
    RawCaller caller(it.fixture.callerAddress);
    it.sendRequest(caller);
    it.stop([] {
    });
    QByteArray answer;
    CHECK(runUntil(
        [&] {
            answer += caller.readAll();
            return !answer.isEmpty();
        },
        5400ms)); // 100 ms before they end otherwise
    CHECK(answer.startsWith("HTTP/1.1 504"));
}

// Guards against requests that meet the close of their connection at the end of a planned stop: all idle ones were closed at once, however new (LOST).
TEST_CASE("a connection that is accepted at the end of a planned stop has a moment for its request")
{
    LateStop it(3s);
    std::unique_ptr<RawCaller> caller;
    it.stop([] {
    });
    it.block(2000ms, 2560ms, [&] { // the time for open requests ends meanwhile
        caller = std::make_unique<RawCaller>(it.fixture.callerAddress);
        QTimer::singleShot(40ms, Qt::PreciseTimer, [&] {
            caller->send(requestText("/slow/x", "body"));
        });
    });
    REQUIRE(runUntil([&] {
        return it.isStopped;
    }));
    it.fixture.gateway.reset(); // the process is gone
    CHECK(caller->readAll().startsWith("HTTP/1.1 503"));
}

// Guards against a request that has arrived and is reset by the exit: the loop was late, and the timer that ends the process ran before it was read (LOST).
TEST_CASE("a request that arrives on a kept connection while the loop is late before the exit of a planned stop is refused")
{
    LateStop it(3s);
    std::unique_ptr<RawCaller> caller;
    QByteArray answer;
    it.stop([&] {
        answer = caller->readAll();
    });
    runFor(2200ms);
    caller = std::make_unique<RawCaller>(it.fixture.callerAddress);
    it.block(450ms, 650ms, [&] { // the time for open requests ends before, that of the exit meanwhile
        caller->send(requestText("/slow/x", "body"));
    });
    REQUIRE(runUntil([&] {
        return it.isStopped;
    }));
    CHECK(answer.startsWith("HTTP/1.1 503"));
}

// Guards against requests that are taken in a planned stop and killed with the process: its signal came during a pause, so that the kill comes earlier than the
// stop's end (LOST).
TEST_CASE("a planned stop after a pause of the process takes only what ends in time if the signal came when the pause began")
{
    LateStop it(6s);
    RawCaller first(it.fixture.callerAddress);
    it.sendRequest(first);
    std::this_thread::sleep_for(2500ms);
    runFor(300ms); // until the lag was measured
    it.stop([] {
    });
    runFor(2300ms);
    RawCaller caller(it.fixture.callerAddress);
    runFor(400ms);
    CHECK(it.fixture.hasLogged("listener_closed")); // the first request keeps the VM, but it may be killed within a second
    caller.send(requestText("/once/x", "body"));
    runFor(100ms);
    CHECK(caller.readAll().startsWith("HTTP/1.1 503"));
    CHECK(first.readAll().isEmpty());
}
