#include "auburndrum/base/hybridclock.h"

#include "numbers.h"

#include <fmt/format.h>

#include <algorithm>

namespace auburndrum {

std::string toText(const HybridTime &time)
{
    return fmt::format("{}.{}", time.wall.time_since_epoch().count(), time.counter);
}

std::optional<HybridTime> parseHybridTime(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto wall = parseWhole<std::int64_t>(text.substr(0, dot));
    const auto counter = parseWhole<std::uint32_t>(text.substr(dot + 1));
    if (!wall || !counter) {
        return std::nullopt;
    }
    return HybridTime{WallTime(std::chrono::milliseconds(*wall)), *counter};
}

HybridClock::HybridClock(std::function<WallTime()> wall)
    : m_wall(std::move(wall))
{
}

HybridTime HybridClock::now()
{
    const std::lock_guard lock(m_mutex);
    return advance(m_last);
}

HybridTime HybridClock::observe(const HybridTime &remote)
{
    const std::lock_guard lock(m_mutex);
    if (remote.wall > m_wall() + MaxClockLead) {
        return advance(m_last);
    }
    return advance(std::max(m_last, remote));
}

HybridTime HybridClock::advance(HybridTime floor)
{
    const WallTime wall = m_wall();
    m_last = wall > floor.wall ? HybridTime{wall, 0} : HybridTime{floor.wall, floor.counter + 1};
    return m_last;
}

} // namespace auburndrum
