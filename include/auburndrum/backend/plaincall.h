#pragma once

#include "auburndrum/net/httpclient.h"

#include <chrono>
#include <functional>

namespace auburndrum::backend {

/// How an attempt at a plain service ended.
enum class PlainEndKind {
    Answered, ///< the whole answer arrived; it may be an error of the service's own
    Refused, ///< the server is leaving and said that it ran nothing
    NotSent, ///< no byte reached the server
    Broken, ///< sent at least in part, and no whole answer came
    WrongAttempt, ///< the answer belongs to another attempt, and was dropped
};

/// The end of an attempt.
struct PlainEnd
{
    PlainEndKind kind = PlainEndKind::Broken;
    net::HttpHead head;
    QByteArray body;
};

/// One attempt.
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

/// Sends one call to one server of a plain service, once, on a connection of its own.
net::HttpCallHandle sendPlain(net::HttpClient &http, const PlainAttempt &attempt, std::function<void(const PlainEnd &)> onEnd);

} // namespace auburndrum::backend
