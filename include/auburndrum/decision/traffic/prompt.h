#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Consecutive prompt tokens that other requests may share.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// Model, size and shareable parts of a request's prompt.
struct Prompt
{
    std::string model;
    std::uint32_t inputTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> parts; ///< in prompt order; a cached part is usable only when all parts before it are cached
};

/// Requests that share most of a prompt have the same key and so prefer the same engine: the id of the last part that others may share.
const std::string &affinityKey(const Prompt &prompt);

} // namespace auburndrum::decision
