#include "auburndrum/decision/traffic/serverpauses.h"

#include <algorithm>

namespace auburndrum::decision {

using std::chrono::milliseconds;

ServerPauses::ServerPauses(ServerPausesOptions options)
    : m_options(options)
{
}

void ServerPauses::setLeavingTime(milliseconds time)
{
    m_options.leavingTime = time;
}

ServerPauses::Words *ServerPauses::wordsOf(std::string_view server, WallTime startedAt)
{
    auto it = m_words.find(server);
    if (it == m_words.end()) {
        if (m_words.size() >= m_options.maxServers) {
            m_words.clear(); // their servers say it again
        }
        it = m_words.try_emplace(std::string(server), Words{.startedAt = startedAt}).first;
    }
    if (startedAt < it->second.startedAt) {
        return nullptr; // a late response of an earlier incarnation
    }
    if (startedAt > it->second.startedAt) {
        it->second = {.startedAt = startedAt};
    }
    return &it->second;
}

const ServerPauses::Words *ServerPauses::find(std::string_view server, WallTime startedAt) const
{
    const auto it = m_words.find(server);
    return it == m_words.end() || it->second.startedAt != startedAt ? nullptr : &it->second;
}

bool ServerPauses::onLeaving(std::string_view server, WallTime startedAt, Instant now)
{
    Words *it = wordsOf(server, startedAt);
    if (it == nullptr || it->leavingSince) {
        return false;
    }
    it->leavingSince = now;
    return true;
}

bool ServerPauses::onRest(std::string_view server, WallTime startedAt, milliseconds time, Instant now)
{
    Words *it = wordsOf(server, startedAt);
    if (it == nullptr || time <= milliseconds(0)) {
        return false;
    }
    const bool isNew = now >= it->restUntil;
    it->restUntil = std::max(it->restUntil, now + std::min(time, m_options.maxRest));
    return isNew;
}

bool ServerPauses::isLeaving(std::string_view server, WallTime startedAt) const
{
    const Words *it = find(server, startedAt);
    return it != nullptr && it->leavingSince;
}

bool ServerPauses::mayUseLeaving(std::string_view server, WallTime startedAt, Instant now) const
{
    const Words *it = find(server, startedAt);
    return it != nullptr && it->leavingSince && now - *it->leavingSince < m_options.leavingTime - m_options.leavingMargin;
}

milliseconds ServerPauses::restLeft(std::string_view server, WallTime startedAt, Instant now) const
{
    const Words *it = find(server, startedAt);
    return it == nullptr ? milliseconds(0) : std::max(milliseconds(0), std::chrono::ceil<milliseconds>(it->restUntil - now));
}

} // namespace auburndrum::decision
