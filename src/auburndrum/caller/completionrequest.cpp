#include "auburndrum/caller/completionrequest.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace auburndrum::caller {

namespace {

using nlohmann::json;

constexpr std::int64_t MaxTokensLimit = 1'000'000;
constexpr std::size_t MaxBodyDepth = 32; // no valid completion nests deeper

std::optional<ApiError> readModel(const json &body, CompletionRequest &request)
{
    const auto it = body.find("model");
    if (it == body.end() || !it->is_string() || it->get_ref<const std::string &>().empty()) {
        return invalidField("model", "model must be a non-empty string.");
    }
    request.model = it->get<std::string>();
    return std::nullopt;
}

std::optional<ApiError> readStream(const json &body, CompletionRequest &request)
{
    const auto it = body.find("stream");
    if (it == body.end() || it->is_null()) {
        return std::nullopt;
    }
    if (!it->is_boolean()) {
        return invalidField("stream", "stream must be true or false.");
    }
    request.stream = it->get<bool>();
    return std::nullopt;
}

std::optional<ApiError> readMaxTokens(const json &body, CompletionRequest &request)
{
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        const auto it = body.find(name);
        if (it == body.end() || it->is_null()) {
            continue;
        }
        if (!it->is_number_integer() || it->get<std::int64_t>() < 1 || it->get<std::int64_t>() > MaxTokensLimit) {
            return invalidField(name, std::string(name) + " must be an integer from 1 to 1000000.");
        }
        request.maxTokens = it->get<std::uint32_t>();
    }
    return std::nullopt;
}

std::optional<ApiError> readTextPrompt(const json &body, CompletionRequest &request)
{
    const auto it = body.find("prompt");
    if (it == body.end() || !it->is_string()) {
        return invalidField("prompt", "prompt must be a string.");
    }
    request.prompt = it->get<std::string>();
    return std::nullopt;
}

/// Appends the text of a message's content, which is a string or a list of parts.
bool appendContent(const json &content, std::string &prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string &>();
        return true;
    }
    if (content.is_null()) {
        return true;
    }
    if (!content.is_array()) {
        return false;
    }
    for (const json &part : content) {
        // Every kind of part is added as its JSON text, so that equal parts give equal prompts.
        prompt += part.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    return true;
}

std::optional<ApiError> readMessages(const json &body, CompletionRequest &request)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return invalidField("messages", "messages must be a non-empty list.");
    }
    std::size_t n = 0;
    for (const json &it : *messages) {
        const std::string path = "messages[" + std::to_string(n++) + "]";
        if (!it.is_object()) {
            return invalidField(path, path + " must be an object.");
        }
        const auto role = it.find("role");
        if (role == it.end() || !role->is_string()) {
            return invalidField(path + ".role", path + ".role must be a string.");
        }
        // Separators keep the roles and contents of adjacent messages distinct in the hashed text.
        request.prompt += '\x1e' + role->get<std::string>() + '\x1f';
        if (!appendContent(it.value("content", json()), request.prompt)) {
            return invalidField(path + ".content", path + ".content must be a string or a list of parts.");
        }
    }
    return std::nullopt;
}

} // namespace

ApiResult<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view text)
{
    if (jsonDepth(text.data(), text.size()) > MaxBodyDepth) {
        return invalidField("body", "The body is nested too deeply.");
    }
    const json body = json::parse(text, nullptr, false);
    if (body.is_discarded()) {
        return invalidField("body", "The body is not valid JSON.");
    }
    if (!body.is_object()) {
        return invalidField("body", "The body must be a JSON object.");
    }
    CompletionRequest request;
    for (const auto read : {readModel, readStream, readMaxTokens, kind == CompletionKind::Text ? readTextPrompt : readMessages}) {
        if (auto error = read(body, request)) {
            return std::move(*error);
        }
    }
    return request;
}

} // namespace auburndrum::caller
