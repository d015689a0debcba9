#include "auburndrum/decision/traffic/promptlookup.h"

#include "auburndrum/decision/traffic/cachescope.h"

namespace auburndrum::decision {

PromptLookup::PromptLookup(const StoredPrompts &stored, const Prompt &prompt, std::string_view organisation, std::uint32_t tokenBytes)
    : m_stored(stored)
    , m_prompt(prompt)
    , m_organisation(organisation)
    , m_tokenBytes(tokenBytes)
{
}

const PromptLookup::Scope &PromptLookup::find(std::uint64_t weightVersion, std::string_view zone)
{
    for (const Scope &it : m_scopes) {
        if (it.weightVersion == weightVersion && it.zone == zone) {
            return it;
        }
    }
    Scope &scope = m_scopes.emplace_back();
    scope.weightVersion = weightVersion;
    scope.zone = zone;
    scope.name = cacheScope(m_prompt.model, weightVersion, m_organisation);
    scope.partKeys = partKeys(scope.name, m_prompt);
    scope.sources.resize(m_prompt.parts.size());
    for (std::size_t n = 0; weightVersion != 0 && n < m_prompt.parts.size(); ++n) {
        scope.sources[n] = m_stored.findSource(scope.partKeys[n], m_prompt.parts[n].tokens, zone, m_tokenBytes);
    }
    return scope;
}

} // namespace auburndrum::decision
