#include "auburndrum/decision/traffic/routedurations.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

constexpr std::size_t MaxRoutes = 1000; // routes that are gone are forgotten with all others when there are more

} // namespace

void RouteDurations::add(std::string_view route, std::chrono::milliseconds duration)
{
    auto it = m_routes.find(route);
    if (it == m_routes.end()) {
        if (m_routes.size() >= MaxRoutes) {
            m_routes.clear();
        }
        it = m_routes.try_emplace(std::string(route)).first;
    }
    Latest &latest = it->second;
    latest.durations.at(latest.next) = duration;
    latest.next = (latest.next + 1) % Latest::Size;
}

std::optional<std::chrono::milliseconds> RouteDurations::longest(std::string_view route) const
{
    const auto it = m_routes.find(route);
    if (it == m_routes.end()) {
        return std::nullopt;
    }
    return *std::max_element(it->second.durations.begin(), it->second.durations.end());
}

} // namespace auburndrum::decision
