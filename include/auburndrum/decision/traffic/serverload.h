#pragma once

#include <cstdint>

namespace auburndrum::decision {

/// Load that a backend server told with an answer; it counts the requests of all entry VMs.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    bool operator==(const LoadReport &) const = default;
};

} // namespace auburndrum::decision
