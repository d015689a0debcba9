#include "standins/engine/cacheevents.h"

#include <algorithm>

namespace auburndrum::standins {

const char *cacheEventName(CacheEventKind kind)
{
    switch (kind) {
    case CacheEventKind::Stored:
        return "stored";
    case CacheEventKind::Evicted:
        return "evicted";
    case CacheEventKind::Cleared:
        return "cleared";
    }
    return "";
}

void CacheEventLog::append(CacheEventKind kind, const std::string &key, std::uint64_t tokens)
{
    const std::uint64_t number = m_next++;
    if (m_toDrop > 0) {
        --m_toDrop;
        return;
    }
    m_events.push_back({number, kind, key, tokens});
    if (m_events.size() > KeptEvents) {
        m_events.pop_front();
    }
}

void CacheEventLog::dropNext(std::uint32_t count)
{
    m_toDrop += count;
}

CacheEventPage CacheEventLog::read(std::uint64_t from) const
{
    CacheEventPage page;
    page.first = m_events.empty() ? m_next : m_events.front().number;
    page.next = m_next;
    const auto start = std::lower_bound(m_events.begin(), m_events.end(), from, [](const CacheEvent &event, std::uint64_t number) {
        return event.number < number;
    });
    page.events.assign(start, m_events.end());
    return page;
}

std::uint64_t CacheEventLog::next() const
{
    return m_next;
}

} // namespace auburndrum::standins
