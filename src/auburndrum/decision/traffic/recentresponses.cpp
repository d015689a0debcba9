#include "auburndrum/decision/traffic/recentresponses.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

constexpr std::size_t MaxUnprovenPerServer = 64; // responses that await the server's next one; the oldest go first

} // namespace

RecentResponses::RecentResponses(std::size_t maxMarks)
    : m_maxMarks(maxMarks)
{
}

void RecentResponses::record(const std::string &mark, Instant at)
{
    if (m_recent.size() >= m_maxMarks / 2 && !m_recent.contains(mark)) {
        m_older = std::exchange(m_recent, {});
    }
    Instant &it = m_recent[mark];
    it = std::max(it, at);
}

std::optional<Instant> RecentResponses::find(const std::string &mark) const
{
    if (const auto it = m_recent.find(mark); it != m_recent.end()) {
        return it->second;
    }
    const auto it = m_older.find(mark);
    return it == m_older.end() ? std::nullopt : std::optional(it->second);
}

void RecentResponses::recordUnproven(const std::string &server, std::vector<std::string> marks, Instant at)
{
    std::vector<Unproven> &list = m_unproven[server];
    if (list.size() >= MaxUnprovenPerServer) {
        list.erase(list.begin());
    }
    list.push_back({at, std::move(marks)});
}

std::optional<Instant> RecentResponses::confirm(const std::string &server, Instant sentAt)
{
    const auto it = m_unproven.find(server);
    if (it == m_unproven.end()) {
        return std::nullopt;
    }
    std::optional<Instant> latest;
    std::erase_if(it->second, [&](const Unproven &response) {
        if (response.at >= sentAt) {
            return false;
        }
        for (const std::string &mark : response.marks) {
            record(mark, response.at);
        }
        latest = response.at;
        return true;
    });
    if (it->second.empty()) {
        m_unproven.erase(it);
    }
    return latest;
}

void RecentResponses::drop(const std::string &server)
{
    m_unproven.erase(server);
}

} // namespace auburndrum::decision
