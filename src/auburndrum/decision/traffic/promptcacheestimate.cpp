#include "auburndrum/decision/traffic/promptcacheestimate.h"

#include <xxhash.h>

namespace auburndrum::decision {

namespace {

std::uint64_t partKey(std::string_view scope, std::string_view id)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), XXH3_64bits(scope.data(), scope.size()));
}

} // namespace

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
    std::uint32_t tokens = 0;
    for (const PromptPart &it : prompt.parts) {
        if (!m_index.contains(partKey(scope, it.id))) {
            break;
        }
        tokens += it.tokens;
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
