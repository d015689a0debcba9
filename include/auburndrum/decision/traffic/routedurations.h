#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// @brief Remembers how long the latest requests of each route took. Not thread-safe.
class RouteDurations
{
public:
    void add(std::string_view route, std::chrono::milliseconds duration);
    /// The longest of the latest durations; nothing for a route without any.
    std::optional<std::chrono::milliseconds> longest(std::string_view route) const;

private:
    struct Latest
    {
        static constexpr std::size_t Size = 32; // enough to hold a slow one in twenty
        std::array<std::chrono::milliseconds, Size> durations{};
        std::size_t next = 0;
    };

    std::map<std::string, Latest, std::less<>> m_routes;
};

} // namespace auburndrum::decision
