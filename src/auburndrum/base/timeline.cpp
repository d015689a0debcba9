#include "auburndrum/base/timeline.h"

#include <algorithm>

namespace auburndrum {

namespace {

bool matches(const TimelineFilter &filter, const TimelineEvent &event)
{
    if (!filter.requestId.empty() && event.requestId != filter.requestId) {
        return false;
    }
    return !filter.since || event.time.wall >= *filter.since;
}

} // namespace

Timeline::Timeline(std::size_t capacity, HybridClock &clock)
    : m_capacity(std::max<std::size_t>(capacity, 1))
    , m_clock(clock)
{
}

void Timeline::record(EventKind kind, std::string_view requestId, std::string_view detail)
{
    TimelineEvent event{HybridTime{}, kind, std::string(requestId), std::string(detail.substr(0, MaxDetailBytes))};
    // The time is read under the lock, so that the ring buffer is ordered by time.
    const std::lock_guard lock(m_mutex);
    event.time = m_clock.now();
    if (m_events.size() == m_capacity) {
        m_events.pop_front();
        ++m_dropped;
    }
    m_events.push_back(std::move(event));
}

std::vector<TimelineEvent> Timeline::events(const TimelineFilter &filter) const
{
    std::vector<TimelineEvent> found;
    const std::lock_guard lock(m_mutex);
    for (auto it = m_events.rbegin(); it != m_events.rend() && found.size() < filter.limit; ++it) {
        if (!matches(filter, *it)) {
            continue;
        }
        found.push_back(*it);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

std::uint64_t Timeline::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace auburndrum
