#include "deployment.h"
#include "wait.h"

#include "standins/engine/tokens.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace auburndrum::tests;
using auburndrum::standins::answerText;
using auburndrum::standins::promptHash;

namespace {

/// Checks that a stream came whole: every token once, in order, of the prompt's own answer, and one end.
void checkWholeStream(const PendingCall &answer, const std::string &prompt, std::uint32_t tokens)
{
    CHECK(answer.isWhole());
    CHECK(answer.head.status == 200);
    CHECK(streamText(answer.body) == answerText(promptHash(prompt), tokens));
    CHECK(doneCount(answer.body) == 1);
}

/// Weight version of the run with this attempt, by the engines' own records; empty when none knows it.
std::string versionOf(Deployment &deployment, const std::string &attempt, int engines)
{
    for (int n = 0; n < engines; ++n) {
        const nlohmann::json runs = deployment.runs(n);
        for (const nlohmann::json &it : runs.at("runs")) {
            if (it.at("attempt") == attempt) {
                return it.at("version");
            }
        }
    }
    return "";
}

} // namespace

TEST_CASE("a stream arrives whole and in order")
{
    Deployment deployment;
    REQUIRE(deployment.isServing());
    const PendingCallPtr answer = deployment.client().call(deployment.prompt(0, "menu for Monday", 30, true));
    checkWholeStream(*answer, "menu for Monday", 30);
}

TEST_CASE("a whole answer is the prompt's own")
{
    Deployment deployment;
    REQUIRE(deployment.isServing());
    const PendingCallPtr answer = deployment.client().call(deployment.prompt(0, "menu for Monday", 30, false));
    REQUIRE(answer->isWhole());
    CHECK(answer->status() == 200);
    CHECK(answer->json()["choices"][0]["text"] == answerText(promptHash("menu for Monday"), 30));
    CHECK(answer->json()["usage"]["completion_tokens"] == 30);
}

TEST_CASE("many callers at once each get their own answer")
{
    constexpr int Callers = 60;
    Deployment deployment({.engineArguments = {"--max_queued=1000"}});
    REQUIRE(deployment.isServing());
    std::vector<PendingCallPtr> calls;
    calls.reserve(Callers);
    for (int n = 0; n < Callers; ++n) {
        calls.push_back(deployment.client().start(deployment.prompt(n % 2, "caller " + std::to_string(n), 20, true)));
    }
    for (int n = 0; n < Callers; ++n) {
        const PendingCall &call = *calls[static_cast<std::size_t>(n)];
        REQUIRE(waitUntil([&] {
            return call.isDone;
        }));
        checkWholeStream(call, "caller " + std::to_string(n), 20);
    }
}

TEST_CASE("a stream whose connection goes silent is resumed with no part lost or doubled")
{
    Deployment deployment;
    REQUIRE(deployment.isServing());
    const auto takenBefore = deployment.runs(0).at("taken").get<int>() + deployment.runs(1).at("taken").get<int>();
    for (int n = 0; n < 2; ++n) {
        deployment.setFault(deployment.engine(n), {{"mode", "half_open"}, {"count", 1}, {"path", "/v1/completions"}});
    }
    const PendingCallPtr answer = deployment.client().call(deployment.prompt(0, "silent", 40, true));
    checkWholeStream(*answer, "silent", 40);
    const auto takenAfter = deployment.runs(0).at("taken").get<int>() + deployment.runs(1).at("taken").get<int>();
    CHECK(takenAfter == takenBefore + 1);
}

TEST_CASE("a stream is resumed again when the resumed connection goes silent too")
{
    Deployment deployment;
    REQUIRE(deployment.isServing());
    for (int n = 0; n < 2; ++n) {
        deployment.setFault(deployment.engine(n), {{"mode", "half_open"}, {"count", 1}, {"path", "/v1/completions"}});
        deployment.setFault(deployment.engine(n), {{"mode", "half_open"}, {"count", 1}, {"path", "/v1/streams/"}});
    }
    const PendingCallPtr answer = deployment.client().call(deployment.prompt(0, "silent twice", 40, true));
    checkWholeStream(*answer, "silent twice", 40);
}

TEST_CASE("a prompt whose engine closes before an answer is answered by another")
{
    Deployment deployment;
    REQUIRE(deployment.isServing());
    deployment.setFault(deployment.engine(0), {{"mode", "reset"}, {"path", "/v1/completions"}});
    for (int n = 0; n < 6; ++n) {
        const std::string prompt = "reset " + std::to_string(n);
        const PendingCallPtr answer = deployment.client().call(deployment.prompt(0, prompt, 5, true));
        checkWholeStream(*answer, prompt, 5);
    }
}

TEST_CASE("an answer with another attempt's id is never passed on")
{
    Deployment deployment;
    REQUIRE(deployment.isServing());
    // Both engines answer once with a wrong id: whichever is tried, the answer that comes through is a right one.
    for (int n = 0; n < 2; ++n) {
        deployment.setFault(deployment.engine(n), {{"mode", "wrong_attempt"}, {"count", 1}, {"path", "/v1/completions"}});
    }
    for (int n = 0; n < 4; ++n) {
        const std::string prompt = "crossed " + std::to_string(n);
        const PendingCallPtr answer = deployment.client().call(deployment.prompt(0, prompt, 5, true));
        REQUIRE(answer->isDone);
        if (answer->head.status == 200) {
            checkWholeStream(*answer, prompt, 5);
        } else {
            CHECK(answer->head.status >= 500);
            CHECK(answer->json().contains("error"));
        }
    }
    const PendingCallPtr metrics = deployment.client().get(deployment.daemon(0).address(), "/metrics");
    CHECK(metrics->body.contains("mismatched_answers"));
    checkWholeStream(*deployment.client().call(deployment.prompt(0, "crossed no more", 5, true)), "crossed no more", 5);
}

TEST_CASE("no answer of another weight version is passed on, also when an engine ignores the version asked for")
{
    Deployment deployment;
    REQUIRE(deployment.isServing());
    deployment.client().send(deployment.engine(0).address(), "POST", "/v1/orders", {{"fencing", 1}, {"kind", "load_version"}, {"value", "v2"}});
    deployment.setFault(deployment.engine(0), {{"mode", "ignore_version"}});
    // Requests go on while the version changes and after.
    for (int n = 0; n < 60; ++n) {
        const std::string prompt = "version " + std::to_string(n);
        const PendingCallPtr answer = deployment.client().call(deployment.prompt(n % 2, prompt, 3, true));
        checkWholeStream(*answer, prompt, 3);
        CHECK(versionOf(deployment, streamAttempt(answer->body), 2) == "v1");
    }
    CHECK(waitUntil([&] {
        return deployment.client().get(deployment.engine(0).address(), "/v1/load")->json().at("version") == "v2";
    }));
    const PendingCallPtr answer = deployment.client().call(deployment.prompt(0, "after the swap", 3, true));
    checkWholeStream(*answer, "after the swap", 3);
    CHECK(versionOf(deployment, streamAttempt(answer->body), 2) == "v1");
}

TEST_CASE("a caller that goes away has its run cancelled")
{
    Deployment deployment({.daemons = 1, .engines = 1, .engineArguments = {"--decode_step=100ms"}});
    REQUIRE(deployment.isServing());
    {
        TestClient leaving;
        const PendingCallPtr call = leaving.start(deployment.prompt(0, "gone", 1000, true));
        REQUIRE(waitUntil([&] {
            return !call->body.isEmpty();
        }));
    }
    CHECK(waitUntil([&] {
        return deployment.runs(0).at("runs").back().at("cancelled") == true;
    }));
}
