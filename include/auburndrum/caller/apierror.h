#pragma once

#include "auburndrum/net/exchange.h"

#include <QByteArray>

#include <chrono>
#include <optional>
#include <string>

namespace auburndrum::caller {

/// Whether the call that failed had an effect.
enum class RunState {
    NotRun, ///< nothing was run and nothing will be
    MayHaveRun, ///< the call reached a backend server and its outcome is not known
};

/// An error as OpenAI's API writes it, with what auburndrum adds.
struct ApiError
{
    int status = 500;
    std::string message; ///< one short sentence
    std::string type = "invalid_request_error";
    std::string param; ///< the field at fault; empty: none
    std::string code; ///< stable name for programs
    RunState run = RunState::NotRun;
    std::optional<std::chrono::milliseconds> retryAfter; ///< sent as Retry-After, rounded up to seconds
};

/// Error object of a body: {"error":{"message","type","param","code","run"}}.
QByteArray toJson(const ApiError &error);

/// Answers with an error, at once.
void refuse(net::Exchange &exchange, const ApiError &error);

/// Errors that several handlers give.
ApiError invalidField(std::string param, std::string message);
ApiError unknownPath(const QByteArray &path);
ApiError wrongMethod(const QByteArray &allowed);
ApiError invalidApiKey();
ApiError unavailable(std::string code, std::string message, std::chrono::milliseconds retryAfter);
ApiError upstreamFailed(std::string message);

} // namespace auburndrum::caller
