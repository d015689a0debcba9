#include "auburndrum/decision/traffic/promptcacheestimate.h"

#include "auburndrum/decision/traffic/cachescope.h"

namespace auburndrum::decision {

PromptCacheEstimate::PromptCacheEstimate(std::uint64_t capacityTokens)
    : m_capacity(capacityTokens)
{
}

void PromptCacheEstimate::setCapacity(std::uint64_t tokens)
{
    m_capacity = tokens;
    evict();
}

void PromptCacheEstimate::recordPrompt(std::string_view scope, const Prompt &prompt)
{
    // In reverse order, so that the first parts are evicted last: later parts are unusable without them.
    for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part) {
        const std::uint64_t key = partKey(scope, part->id);
        const auto known = m_index.find(key);
        if (known != m_index.end()) {
            m_parts.splice(m_parts.begin(), m_parts, known->second);
            continue;
        }
        m_parts.push_front({key, part->tokens});
        m_index[key] = m_parts.begin();
        m_tokens += part->tokens;
    }
    evict();
}

std::uint32_t PromptCacheEstimate::cachedTokens(std::string_view scope, const Prompt &prompt) const
{
    return cachedTokens(partKeys(scope, prompt), prompt);
}

std::uint32_t PromptCacheEstimate::cachedTokens(const std::vector<std::uint64_t> &keys, const Prompt &prompt) const
{
    std::uint32_t tokens = 0;
    for (std::size_t n = 0; n < keys.size() && m_index.contains(keys[n]); ++n) {
        tokens += prompt.parts[n].tokens;
    }
    return tokens;
}

void PromptCacheEstimate::clear()
{
    m_parts.clear();
    m_index.clear();
    m_tokens = 0;
}

void PromptCacheEstimate::evict()
{
    while (m_tokens > m_capacity && !m_parts.empty()) {
        m_tokens -= m_parts.back().tokens;
        m_index.erase(m_parts.back().key);
        m_parts.pop_back();
    }
}

} // namespace auburndrum::decision
