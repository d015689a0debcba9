#pragma once

#include "auburndrum/net/exchange.h"

#include <QByteArray>

#include <chrono>
#include <optional>
#include <string>

namespace auburndrum::caller {

/// Whether the call that failed had an effect.
enum class RunState {
    NotRun, ///< no backend server ran the call, and none will
    MayHaveRun, ///< the call reached a backend server and its outcome is not known
};

/// An error response in the format of OpenAI's API, extended by `run` and the Retry-After header.
struct ApiError
{
    int status = 500;
    std::string message; ///< one short sentence
    std::string type = "invalid_request_error";
    std::string param; ///< name of the invalid field or header; empty if the error concerns none
    std::string code; ///< stable error code that programs may compare
    RunState run = RunState::NotRun;
    std::optional<std::chrono::milliseconds> retryAfter; ///< sent as Retry-After, rounded up to seconds
};

/// Response body of an error: {"error":{"message","type","param","code","run"}}.
QByteArray toJson(const ApiError &error);

/// Sends the error as the response.
void refuse(net::Exchange &exchange, const ApiError &error);

/// Errors that several handlers return.
ApiError invalidField(std::string param, std::string message);
ApiError unknownPath(const QByteArray &path);
ApiError wrongMethod(const QByteArray &allowed);
ApiError invalidApiKey();
ApiError unavailable(std::string code, std::string message, std::chrono::milliseconds retryAfter);
ApiError upstreamFailed(std::string message);

} // namespace auburndrum::caller
