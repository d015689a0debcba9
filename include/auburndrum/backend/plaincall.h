#pragma once

#include "auburndrum/net/httpclient.h"

#include <chrono>
#include <functional>

namespace auburndrum::backend {

/// How an attempt at a plain service, one of ordinary HTTP calls without a model engine, ended.
enum class PlainEndKind {
    Answered, ///< the complete response arrived; it may be an error response of the service
    Refused, ///< the server is leaving (503 with X-Leaving) and did not run the call
    NotSent, ///< no byte reached the server
    Broken, ///< sent at least in part, and no complete response arrived
    WrongAttempt, ///< the response carries another attempt id and was discarded
};

/// Result of an attempt.
struct PlainEnd
{
    PlainEndKind kind = PlainEndKind::Broken;
    net::HttpHead head;
    QByteArray body;
};

/// One attempt to run a call at a server of a plain service.
struct PlainAttempt
{
    net::Address server;
    QByteArray method;
    QByteArray target;
    QByteArray contentType;
    QByteArray body;
    QByteArray attemptId;
    QByteArray organisation;
    QByteArray idempotencyKey;
    std::chrono::milliseconds timeout{30000};
};

/// Sends one call to one server of a plain service, once, on a new connection.
net::HttpCallHandle sendPlain(net::HttpClient &http, const PlainAttempt &attempt, std::function<void(const PlainEnd &)> onEnd);

} // namespace auburndrum::backend
