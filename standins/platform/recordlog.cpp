#include "standins/platform/recordlog.h"

#include <algorithm>
#include <utility>

namespace auburndrum::standins {

RecordLog::RecordLog(const RecordLogOptions &options)
    : m_options(options)
    , m_tokens(options.appendsPerSecond)
{
}

LogResult<std::uint64_t> RecordLog::append(std::string value, Instant now, WallTime wall)
{
    if (!takeAppendToken(now)) {
        return LogError::RateLimited;
    }
    m_records.push_back({m_next, wall, std::move(value)});
    dropExpired(wall);
    return m_next++;
}

LogResult<LogPage> RecordLog::read(std::uint64_t from, std::size_t limit, WallTime wall)
{
    dropExpired(wall);
    LogPage page = bounds();
    if (from < page.first) {
        return LogError::Gone;
    }
    for (std::uint64_t offset = from; offset < page.next && page.records.size() < limit; ++offset) {
        page.records.push_back(m_records[offset - page.first]);
    }
    return page;
}

LogPage RecordLog::bounds() const
{
    return {m_next - m_records.size(), m_next, {}};
}

bool RecordLog::takeAppendToken(Instant now)
{
    const double rate = m_options.appendsPerSecond;
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(rate, m_tokens + elapsed.count() * rate);
    m_refilledAt = now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void RecordLog::dropExpired(WallTime wall)
{
    while (m_records.size() > m_options.retentionRecords) {
        m_records.pop_front();
    }
    while (!m_records.empty() && m_records.front().time + m_options.retentionTime < wall) {
        m_records.pop_front();
    }
}

} // namespace auburndrum::standins
