#include "auburndrum/caller/apierror.h"

#include <nlohmann/json.hpp>

namespace auburndrum::caller {

namespace {

using nlohmann::json;

json textOrNull(const std::string &text)
{
    return text.empty() ? json() : json(text);
}

} // namespace

QByteArray toJson(const ApiError &error)
{
    json it;
    it["message"] = error.message;
    it["type"] = error.type;
    it["param"] = textOrNull(error.param);
    it["code"] = textOrNull(error.code);
    it["run"] = error.run == RunState::NotRun ? "not_run" : "may_have_run";
    // A message may quote bytes of the request, which need not be valid UTF-8.
    return QByteArray::fromStdString(json{{"error", it}}.dump(-1, ' ', false, json::error_handler_t::replace));
}

void refuse(net::Exchange &exchange, const ApiError &error)
{
    std::vector<net::Header> headers;
    if (error.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter);
        headers.push_back({"Retry-After", QByteArray::number(static_cast<qlonglong>(std::max(seconds.count(), seconds.zero().count() + 1)))});
    }
    exchange.respondJson(error.status, toJson(error), headers);
}

ApiError invalidField(std::string param, std::string message)
{
    return {.status = 400, .message = std::move(message), .param = std::move(param), .code = "invalid_value"};
}

ApiError unknownPath(const QByteArray &path)
{
    return {.status = 404, .message = "The path " + path.left(200).toStdString() + " does not exist.", .param = "path", .code = "unknown_path"};
}

ApiError wrongMethod(const QByteArray &allowed)
{
    return {.status = 405, .message = "This path only accepts the method " + allowed.toStdString() + ".", .param = "method", .code = "wrong_method"};
}

ApiError invalidApiKey()
{
    return {
        .status = 401, .message = "The API key is missing or unknown.", .type = "authentication_error", .param = "Authorization", .code = "invalid_api_key"};
}

ApiError unavailable(std::string code, std::string message, std::chrono::milliseconds retryAfter)
{
    return {.status = 503, .message = std::move(message), .type = "server_error", .code = std::move(code), .retryAfter = retryAfter};
}

ApiError upstreamFailed(std::string message)
{
    return {.status = 502, .message = std::move(message), .type = "server_error", .code = "upstream_failed", .run = RunState::MayHaveRun};
}

} // namespace auburndrum::caller
