#include "deployment.h"
#include "wait.h"

#include "standins/engine/tokens.h"

#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <vector>

using namespace auburndrum::tests;
using auburndrum::standins::answerText;
using auburndrum::standins::promptHash;

namespace {

bool isReady(Deployment &deployment, int daemon)
{
    const PendingCallPtr answer = deployment.client().get(deployment.daemon(daemon).address(), "/readyz");
    return answer->isWhole() && answer->status() == 200;
}

/// Streams of 40 tokens, each with its first token there.
std::vector<PendingCallPtr> startStreams(Deployment &deployment, int daemon, int count)
{
    std::vector<PendingCallPtr> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        out.push_back(deployment.client().start(deployment.prompt(daemon, "stream " + std::to_string(n), 40, true)));
    }
    for (const PendingCallPtr &it : out) {
        CHECK(waitUntil([&] {
            return !it->body.isEmpty();
        }));
    }
    return out;
}

void checkWhole(const std::vector<PendingCallPtr> &streams)
{
    for (std::size_t n = 0; n < streams.size(); ++n) {
        const PendingCall &it = *streams[n];
        CHECK(waitUntil([&] {
            return it.isDone;
        }));
        CHECK(it.isWhole());
        CHECK(streamText(it.body) == answerText(promptHash("stream " + std::to_string(n)), 40));
        CHECK(doneCount(it.body) == 1);
    }
}

/// Prompts that an engine was sent, taken or refused.
int sentTo(Deployment &deployment, int engine)
{
    const nlohmann::json runs = deployment.runs(engine);
    return runs.at("taken").get<int>() + runs.at("refused").get<int>();
}

/// Arguments of one more daemon, started after the others.
QStringList lateArguments(Deployment &deployment)
{
    return {"--listen=127.0.0.70:0",
            "--name=late",
            "--zone=uusimaa-1",
            "--region=uusimaa",
            "--platform=" + QString::fromStdString(deployment.platform().addressText())};
}

/// The most that may pass from the first word of a leaving server to its last new work, with room for the list's lag and reading.
constexpr std::chrono::milliseconds LeavingKnown{5000};

} // namespace

TEST_CASE("SIGTERM cuts no stream and no call, and the daemon ends with 0")
{
    Deployment deployment({.engineArguments = {"--decode_step=50ms"}, .serviceArguments = {"--call_time=1s"}});
    REQUIRE(deployment.isServing());
    const std::vector<PendingCallPtr> streams = startStreams(deployment, 0, 10);
    const PendingCallPtr order = deployment.client().start(deployment.serviceCall(0, "ordering", "/drain", "order-1"));
    REQUIRE(waitUntil([&] {
        return deployment.executions(deployment.ordering(), "/drain").size() == 1;
    }));
    deployment.daemon(0).sendSignal(SIGTERM);
    CHECK(waitUntil([&] {
        return !isReady(deployment, 0);
    }));
    checkWhole(streams);
    CHECK(waitUntil([&] {
        return order->isDone;
    }));
    CHECK(order->status() == 200);
    REQUIRE(deployment.daemon(0).waitForExit());
    CHECK(deployment.daemon(0).exitCode() == 0);
    CHECK(deployment.client().call(deployment.prompt(1, "goes on", 2, false))->status() == 200);
}

TEST_CASE("requests that the balancer still sends right after SIGTERM are served")
{
    Deployment deployment({.daemonArguments = {"--balancer_lag=2s"}});
    REQUIRE(deployment.isServing());
    deployment.daemon(0).sendSignal(SIGTERM);
    CHECK(waitUntil([&] {
        return !isReady(deployment, 0);
    }));
    TestClient fresh;
    const PendingCallPtr answer = fresh.call(deployment.prompt(0, "late comer", 3, true));
    CHECK(answer->isWhole());
    CHECK(streamText(answer->body) == answerText(promptHash("late comer"), 3));
    REQUIRE(deployment.daemon(0).waitForExit());
    CHECK(deployment.daemon(0).exitCode() == 0);
}

TEST_CASE("a second SIGTERM ends the daemon with streams open")
{
    Deployment deployment({.daemons = 1, .engineArguments = {"--decode_step=500ms"}});
    REQUIRE(deployment.isServing());
    const std::vector<PendingCallPtr> streams = startStreams(deployment, 0, 2);
    deployment.daemon(0).sendSignal(SIGTERM);
    CHECK(waitUntil([&] {
        return !isReady(deployment, 0);
    }));
    deployment.daemon(0).sendSignal(SIGTERM);
    REQUIRE(deployment.daemon(0).waitForExit());
    CHECK(deployment.daemon(0).exitCode() != 0);
    CHECK(deployment.daemon(0).errorOutput().contains("cut"));
}

TEST_CASE("a server that the platform lists as leaving gets no new work, and its streams end whole")
{
    Deployment deployment({.engineArguments = {"--decode_step=100ms"}});
    REQUIRE(deployment.isServing());
    const std::vector<PendingCallPtr> streams = startStreams(deployment, 0, 8);
    deployment.listServer(deployment.engine(0), "engine-0", "menu", "leaving");
    waitFor(LeavingKnown);
    const int before = sentTo(deployment, 0);
    for (int n = 0; n < 40; ++n) {
        CHECK(deployment.client().call(deployment.prompt(n % 2, "after " + std::to_string(n), 1, false))->status() == 200);
    }
    CHECK(sentTo(deployment, 0) == before);
    checkWhole(streams);
}

TEST_CASE("a server that says itself that it leaves gets no new work, and no caller sees an error")
{
    Deployment deployment;
    REQUIRE(deployment.isServing());
    deployment.client().send(deployment.engine(0).address(), "PUT", "/v1/leaving", {});
    for (int n = 0; n < 20; ++n) {
        CHECK(deployment.client().call(deployment.prompt(n % 2, "during " + std::to_string(n), 1, false))->status() == 200);
    }
    waitFor(LeavingKnown);
    const int before = sentTo(deployment, 0);
    for (int n = 0; n < 40; ++n) {
        CHECK(deployment.client().call(deployment.prompt(n % 2, "after " + std::to_string(n), 1, false))->status() == 200);
    }
    CHECK(sentTo(deployment, 0) == before);
}

TEST_CASE("an engine killed in the middle of a stream costs only its own streams, and new ones go elsewhere")
{
    Deployment deployment({.engineArguments = {"--decode_step=50ms"}});
    REQUIRE(deployment.isServing());
    std::vector<PendingCallPtr> streams = startStreams(deployment, 0, 10);
    deployment.engine(0).sendSignal(SIGKILL);
    for (std::size_t n = 0; n < streams.size(); ++n) {
        const PendingCall &it = *streams[n];
        REQUIRE(waitUntil([&] {
            return it.isDone;
        }));
        // A stream that broke says so and is never passed off as whole.
        const std::string whole = answerText(promptHash("stream " + std::to_string(n)), 40);
        CHECK(whole.starts_with(streamText(it.body)));
        CHECK((doneCount(it.body) == 1) == (streamText(it.body) == whole));
    }
    for (int n = 0; n < 10; ++n) {
        const PendingCallPtr answer = deployment.client().call(deployment.prompt(n % 2, "elsewhere", 2, true));
        CHECK(streamText(answer->body) == answerText(promptHash("elsewhere"), 2));
    }
}

TEST_CASE("a daemon that starts while the log is down is not ready until it is back")
{
    Deployment deployment({.daemons = 1, .engines = 1});
    REQUIRE(deployment.isServing());
    deployment.setFault(deployment.platform(), {{"mode", "refuse"}, {"path", "/v1/log"}});
    ChildProcess late("auburndrumd", lateArguments(deployment));
    REQUIRE(late.isListening());
    waitFor(std::chrono::milliseconds(500));
    CHECK(deployment.client().get(late.address(), "/readyz")->status() == 503);
    CHECK(isReady(deployment, 0));
    deployment.clearFaults(deployment.platform());
    CHECK(waitUntil([&] {
        return deployment.client().get(late.address(), "/readyz")->status() == 200;
    }));
}

TEST_CASE("a daemon that starts while the log is down serves from a peer's configuration, and runs no keyed call until the log is back")
{
    Deployment deployment({.daemons = 1, .engines = 1});
    REQUIRE(deployment.isServing());
    deployment.setFault(deployment.platform(), {{"mode", "refuse"}, {"path", "/v1/log"}});
    const QString peers = "--peers=" + QString::fromStdString(deployment.daemon(0).addressText());
    ChildProcess late("auburndrumd", lateArguments(deployment) + QStringList{peers});
    REQUIRE(late.isListening());
    CHECK(waitUntil([&] {
        return deployment.client().get(late.address(), "/readyz")->status() == 200;
    }));

    auburndrum::net::HttpCall prompt = deployment.prompt(0, "from a peer", 3, true);
    prompt.peer = late.address();
    CHECK(streamText(deployment.client().call(prompt)->body) == answerText(promptHash("from a peer"), 3));

    auburndrum::net::HttpCall order = deployment.serviceCall(0, "ordering", "/outage", "outage-1");
    order.peer = late.address();
    const PendingCallPtr refused = deployment.client().call(order);
    CHECK(refused->status() == 503);
    CHECK(refused->json().at("error").at("run") == "not_run");
    CHECK_FALSE(refused->head.header("Retry-After").isEmpty());
    CHECK(deployment.executions(deployment.ordering(), "/outage").empty());

    deployment.clearFaults(deployment.platform());
    CHECK(waitUntil([&] {
        return deployment.client().call(order)->status() == 200;
    }));
    CHECK(deployment.executions(deployment.ordering(), "/outage").size() == 1);
}
