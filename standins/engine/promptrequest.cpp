#include "standins/engine/promptrequest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburndrum::standins {

namespace {

std::string joinMessages(const nlohmann::json &messages)
{
    std::string out;
    for (const nlohmann::json &it : messages) {
        out += it.at("role").get<std::string>() + ": " + it.at("content").get<std::string>() + "\n";
    }
    return out;
}

} // namespace

std::optional<PromptRequest> parsePromptRequest(const std::string &body, bool chat)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        PromptRequest out;
        out.chat = chat;
        out.prompt = chat ? joinMessages(json.at("messages")) : json.at("prompt").get<std::string>();
        out.model = json.value("model", "");
        out.maxTokens = std::max(1U, json.value("max_tokens", out.maxTokens));
        out.stream = json.value("stream", false);
        return out;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace auburndrum::standins
