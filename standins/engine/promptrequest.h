#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace auburndrum::standins {

/// What the engine needs of a completion request's body.
struct PromptRequest
{
    std::string prompt; ///< text of the prompt; messages are joined as "ROLE: CONTENT\n"
    std::string model;
    std::uint32_t maxTokens = 16;
    bool chat = false;
    bool stream = false;
};

/// Reads the body of /v1/completions, or of /v1/chat/completions when chat is set. Nothing when it is malformed.
std::optional<PromptRequest> parsePromptRequest(const std::string &body, bool chat);

} // namespace auburndrum::standins
