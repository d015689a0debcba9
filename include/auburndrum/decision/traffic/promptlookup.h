#pragma once

#include "auburndrum/decision/traffic/prompt.h"
#include "auburndrum/decision/traffic/storedprompts.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// @brief What the choice of an engine for one prompt looks up once for each weight version and availability zone rather than once for each engine.
///
/// Not thread-safe; lives for one choice.
class PromptLookup
{
public:
    /// Where the parts of the prompt can be fetched by engines of one weight version and availability zone.
    struct Scope
    {
        std::uint64_t weightVersion = 0;
        std::string_view zone;
        std::string name; ///< scope of cached parts
        std::vector<std::uint64_t> partKeys; ///< in prompt order
        std::vector<std::optional<StoredPromptSource>> sources; ///< in prompt order
    };

    /// `organisation`: one with a private cache; empty for all others. Everything referred to must outlive this object.
    PromptLookup(const StoredPrompts &stored, const Prompt &prompt, std::string_view organisation, std::uint32_t tokenBytes);

    /// `weightVersion` 0: unknown, so nothing is fetched. The reference stays valid.
    const Scope &find(std::uint64_t weightVersion, std::string_view zone);
    /// Different scopes looked up so far.
    std::size_t size() const
    {
        return m_scopes.size();
    }

private:
    const StoredPrompts &m_stored;
    const Prompt &m_prompt;
    std::string_view m_organisation;
    std::uint32_t m_tokenBytes;
    std::deque<Scope> m_scopes; ///< few: weight versions in use times availability zones
};

} // namespace auburndrum::decision
