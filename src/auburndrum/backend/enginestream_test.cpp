#include "auburndrum/backend/enginestream.h"

#include "auburndrum/net/httpserver.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTimer>

using namespace auburndrum;
using namespace auburndrum::backend;
using namespace std::chrono_literals;

namespace {

/// How an attempt ends at an engine that gives this answer.
EngineEndKind endAt(int status, const std::vector<net::Header> &headers)
{
    net::HttpServer engine({}, [&](const std::shared_ptr<net::Exchange> &it) {
        it->respond(status, headers, "{}");
    });
    net::HttpClient http;
    std::optional<EngineEndKind> kind;
    QEventLoop loop;
    EngineAttempt attempt;
    attempt.server = engine.listenOn({QHostAddress(QStringLiteral("127.0.0.1")), 0});
    attempt.target = "/v1/completions";
    attempt.attemptId = "this";
    EngineHooks hooks;
    hooks.onEnd = [&](const EngineEnd &end) {
        kind = end.kind;
        loop.quit();
    };
    const auto stream = EngineStream::start(http, std::move(attempt), std::move(hooks));
    QTimer::singleShot(10s, &loop, &QEventLoop::quit);
    loop.exec();
    REQUIRE(kind);
    return *kind;
}

} // namespace

// Guards against callers that are told "not run" for a request that runs: an engine wrote the refusal of an earlier one once more.
TEST_CASE("a refusal counts only with the attempt's id")
{
    CHECK(endAt(503, {{"X-Attempt-Id", "this"}}) == EngineEndKind::Refused);
    CHECK(endAt(503, {{"X-Attempt-Id", "earlier"}}) == EngineEndKind::WrongAttempt);
    CHECK(endAt(503, {}) == EngineEndKind::WrongAttempt);
    CHECK(endAt(409, {{"X-Attempt-Id", "earlier"}}) == EngineEndKind::WrongAttempt);
    CHECK(endAt(400, {}) == EngineEndKind::WrongAttempt);
}
