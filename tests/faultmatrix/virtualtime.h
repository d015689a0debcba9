#pragma once

#include "auburndrum/base/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace faultmatrix {

using auburndrum::Instant;
using auburndrum::WallTime;

constexpr Instant TimeStart{std::chrono::hours(1)};
constexpr WallTime WallStart{std::chrono::hours(500000)};

/// A clock that jumps from event to event. Equal times keep the order in which they were asked for.
class VirtualTime
{
public:
    Instant now() const
    {
        return m_now;
    }

    WallTime wall() const
    {
        return WallStart + std::chrono::floor<std::chrono::milliseconds>(m_now - TimeStart);
    }

    void after(std::chrono::milliseconds delay, std::function<void()> action)
    {
        m_queue.push_back({m_now + delay, ++m_events, std::move(action)});
        std::push_heap(m_queue.begin(), m_queue.end(), isLater);
    }

    void run()
    {
        while (!m_queue.empty()) {
            std::pop_heap(m_queue.begin(), m_queue.end(), isLater);
            const Event event = std::move(m_queue.back());
            m_queue.pop_back();
            m_now = event.at;
            event.action();
        }
    }

private:
    struct Event
    {
        Instant at;
        std::uint64_t n = 0;
        std::function<void()> action;
    };

    static bool isLater(const Event &a, const Event &b)
    {
        return a.at != b.at ? a.at > b.at : a.n > b.n;
    }

    Instant m_now = TimeStart;
    std::uint64_t m_events = 0;
    std::vector<Event> m_queue;
};

} // namespace faultmatrix
