#include "auburndrum/backend/plaincall.h"

namespace auburndrum::backend {

namespace {

constexpr int StatusUnavailable = 503;

PlainEndKind kindOf(const PlainAttempt &attempt, const net::HttpResult &result)
{
    if (result.failure != net::HttpFailure::None) {
        return result.sent ? PlainEndKind::Broken : PlainEndKind::NotSent;
    }
    if (result.endedByClose) {
        return PlainEndKind::Broken; // nothing tells a whole response from one that the server broke off
    }
    if (result.head.header("X-Attempt-Id") != attempt.attemptId) {
        return PlainEndKind::WrongAttempt;
    }
    if (result.head.status == StatusUnavailable && result.head.header("X-Leaving") == "1") {
        return PlainEndKind::Refused;
    }
    return PlainEndKind::Answered;
}

} // namespace

net::HttpCallHandle sendPlain(net::HttpClient &http, const PlainAttempt &attempt, std::function<void(const PlainEnd &)> onEnd)
{
    net::HttpCall call;
    call.peer = attempt.server;
    call.method = attempt.method;
    call.target = attempt.target;
    call.headers = {{"X-Attempt-Id", attempt.attemptId}, {"X-Organisation", attempt.organisation}};
    if (!attempt.contentType.isEmpty()) {
        call.headers.push_back({"Content-Type", attempt.contentType});
    }
    if (!attempt.idempotencyKey.isEmpty()) {
        call.headers.push_back({"Idempotency-Key", attempt.idempotencyKey});
    }
    call.body = attempt.body;
    // A kept-alive connection may close while the request is sent, and it would be unknown whether the request ran.
    call.freshConnection = true;
    call.firstByteTimeout = attempt.timeout;
    call.idleTimeout = attempt.timeout;
    net::HttpHooks hooks;
    hooks.onDone = [attempt, onEnd = std::move(onEnd)](const net::HttpResult &result) {
        onEnd({kindOf(attempt, result), result.head, result.body});
    };
    return http.start(call, std::move(hooks));
}

} // namespace auburndrum::backend
