#include "auburndrum/operator/adminmessage.h"

#include <nlohmann/json.hpp>

namespace auburndrum::operators {

namespace {

constexpr int FirstServerError = 500;

} // namespace

AdminResponse adminError(int status, std::string_view code, std::string_view message, std::string_view param)
{
    using Json = nlohmann::ordered_json;
    Json error{{"message", message}, {"type", status < FirstServerError ? "invalid_request_error" : "server_error"}};
    error["param"] = param.empty() ? Json(nullptr) : Json(param);
    error["code"] = code;
    const Json json{{"error", std::move(error)}};
    return {status, json.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

} // namespace auburndrum::operators
