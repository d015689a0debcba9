#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace auburndrum::bench {

/// Runs actions in the order of virtual time.
class EventLoop
{
public:
    Instant now() const
    {
        return m_now;
    }

    void at(Instant time, std::function<void()> action)
    {
        m_events.push({std::max(time, m_now), ++m_sequence, std::move(action)});
    }

    void after(std::chrono::nanoseconds delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        Instant time{};
        std::uint64_t sequence = 0;
        std::function<void()> action;

        friend bool operator<(const Event &a, const Event &b)
        {
            return std::pair(a.time, a.sequence) > std::pair(b.time, b.sequence);
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    Instant m_now{std::chrono::hours(1000)};
};

/// Nanoseconds of a number of seconds.
inline std::chrono::nanoseconds seconds(double count)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(count));
}

/// Seconds of a duration.
inline double toSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace auburndrum::bench
