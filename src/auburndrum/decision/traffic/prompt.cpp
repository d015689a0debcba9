#include "auburndrum/decision/traffic/prompt.h"

namespace auburndrum::decision {

const std::string &affinityKey(const Prompt &prompt)
{
    static const std::string none;
    if (prompt.parts.empty()) {
        return none;
    }
    // The last of several parts is specific to the request.
    const std::size_t n = prompt.parts.size() > 1 ? prompt.parts.size() - 2 : 0;
    return prompt.parts[n].id;
}

} // namespace auburndrum::decision
