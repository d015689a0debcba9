#include "auburndrum/decision/traffic/urgency.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

constexpr std::uint32_t LateBand = 5; // urgencies 0 to 4 are for requests that can be on time, 5 to 9 for the others

} // namespace

std::uint32_t urgencyOf(std::uint32_t priority, std::chrono::microseconds expectedWait, std::chrono::microseconds timeToTarget)
{
    const std::uint32_t rank = std::min(priority, LateBand - 1);
    return expectedWait <= timeToTarget ? rank : LateBand + rank;
}

} // namespace auburndrum::decision
