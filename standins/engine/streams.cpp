#include "standins/engine/streams.h"

namespace auburndrum::standins {

StreamTable::StreamTable(std::chrono::milliseconds keptAfterEnd)
    : m_keptAfterEnd(keptAfterEnd)
{
}

void StreamTable::add(const std::string &attempt, const StreamRecord &record)
{
    m_streams[attempt] = record;
}

void StreamTable::remove(const std::string &attempt)
{
    m_streams.erase(attempt);
}

StreamRecord *StreamTable::find(const std::string &attempt, Instant now)
{
    const auto it = m_streams.find(attempt);
    if (it == m_streams.end() || isExpired(it->second, now)) {
        return nullptr;
    }
    return &it->second;
}

void StreamTable::dropExpired(Instant now)
{
    std::erase_if(m_streams, [&](const auto &it) {
        return isExpired(it.second, now);
    });
}

bool StreamTable::isExpired(const StreamRecord &record, Instant now) const
{
    return record.endedAt && *record.endedAt + m_keptAfterEnd <= now;
}

} // namespace auburndrum::standins
