#include "standins/engine/runlist.h"

namespace auburndrum::standins {

void RunList::add(const RunEntry &entry)
{
    ++m_taken;
    m_runs.push_back(entry);
    if (m_runs.size() > KeptRuns) {
        m_runs.pop_front();
    }
}

void RunList::addRefused()
{
    ++m_refused;
}

void RunList::setCached(const std::string &attempt, std::uint64_t tokens)
{
    if (RunEntry *entry = find(attempt)) {
        entry->cachedTokens = tokens;
    }
}

void RunList::setCancelled(const std::string &attempt)
{
    if (RunEntry *entry = find(attempt)) {
        entry->cancelled = true;
    }
}

nlohmann::json RunList::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const RunEntry &it : m_runs) {
        list.push_back({{"attempt", it.attempt},
                        {"organisation", it.organisation},
                        {"prompt_hash", it.promptHash},
                        {"version", it.version},
                        {"prompt_tokens", it.promptTokens},
                        {"cached_tokens", it.cachedTokens},
                        {"time_ms", it.takenAt.time_since_epoch().count()},
                        {"cancelled", it.cancelled}});
    }
    return {{"taken", m_taken}, {"refused", m_refused}, {"runs", list}};
}

RunEntry *RunList::find(const std::string &attempt)
{
    // The wanted run is nearly always among the latest.
    for (auto it = m_runs.rbegin(); it != m_runs.rend(); ++it) {
        if (it->attempt == attempt) {
            return &*it;
        }
    }
    return nullptr;
}

} // namespace auburndrum::standins
