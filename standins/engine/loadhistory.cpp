#include "standins/engine/loadhistory.h"

#include <utility>

namespace auburndrum::standins {

LoadHistory::LoadHistory(std::chrono::milliseconds kept)
    : m_kept(kept)
{
}

void LoadHistory::add(std::string report, Instant now)
{
    m_entries.push_back({now, std::move(report)});
    while (m_entries.size() > 1 && m_entries.front().at + m_kept < now) {
        m_entries.pop_front();
    }
}

LoadHistory::Aged LoadHistory::lagging(std::chrono::milliseconds lag, Instant now) const
{
    if (m_entries.empty()) {
        return {};
    }
    const Entry *out = &m_entries.front();
    for (const Entry &it : m_entries) {
        if (it.at + lag > now) {
            break;
        }
        out = &it;
    }
    return {out->report, std::chrono::duration_cast<std::chrono::milliseconds>(now - out->at)};
}

} // namespace auburndrum::standins
