#pragma once

#include "auburndrum/decision/traffic/prompt.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <string_view>

namespace auburndrum::decision {

/// @brief Estimates which prompt parts an engine still caches, from the requests that were sent to it.
///
/// Evicts the least recently used parts beyond a number of tokens, as the engine does. Not thread-safe.
class PromptCacheEstimate
{
public:
    explicit PromptCacheEstimate(std::uint64_t capacityTokens = 0);

    void setCapacity(std::uint64_t tokens);
    /// Records the parts as cached under `scope`, which separates organisations that share no cache.
    void recordPrompt(std::string_view scope, const Prompt &prompt);
    /// Tokens at the start of the prompt that are probably cached.
    std::uint32_t cachedTokens(std::string_view scope, const Prompt &prompt) const;
    /// The same for the parts' keys in a scope, in prompt order.
    std::uint32_t cachedTokens(const std::vector<std::uint64_t> &keys, const Prompt &prompt) const;
    void clear();

private:
    struct Part
    {
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
    };

    void evict();

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    std::list<Part> m_parts; // most recently used first
    absl::flat_hash_map<std::uint64_t, std::list<Part>::iterator> m_index;
};

} // namespace auburndrum::decision
