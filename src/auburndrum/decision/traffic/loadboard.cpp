#include "auburndrum/decision/traffic/loadboard.h"

namespace auburndrum::decision {

LoadBoard::LoadBoard(std::chrono::milliseconds maxAge)
    : m_maxAge(maxAge)
{
}

bool LoadBoard::put(const std::string &server, const LoadReport &report, Instant seenAt, LoadOrigin origin, Instant now)
{
    if (now - seenAt > m_maxAge) {
        return false;
    }
    Entry &it = m_entries[server];
    if (it.number != 0 && seenAt <= it.seenAt) {
        return false;
    }
    it = {report, seenAt, origin, ++m_newest};
    return true;
}

std::vector<SeenLoad> LoadBoard::since(std::uint64_t after, LoadOrigin farthest, Instant now) const
{
    std::vector<SeenLoad> list;
    for (const auto &[server, it] : m_entries) {
        if (it.number <= after || it.origin > farthest || now - it.seenAt > m_maxAge) {
            continue;
        }
        list.push_back({server, it.report, std::chrono::ceil<std::chrono::milliseconds>(now - it.seenAt)});
    }
    return list;
}

void LoadBoard::expire(Instant now)
{
    std::erase_if(m_entries, [&](const auto &it) {
        return now - it.second.seenAt > m_maxAge;
    });
}

} // namespace auburndrum::decision
