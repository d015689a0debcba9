#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// A run of prompt tokens that other requests may share.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// What a request says of its prompt.
struct Prompt
{
    std::string model;
    std::uint32_t inputTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> parts; ///< in order; a cached part counts only behind cached ones
};

/// The id by which requests that share most of a prompt find the same engine: of the last part that others may share.
const std::string &affinityKey(const Prompt &prompt);

} // namespace auburndrum::decision
