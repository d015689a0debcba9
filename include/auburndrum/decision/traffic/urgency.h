#pragma once

#include <chrono>
#include <cstdint>

namespace auburndrum::decision {

/// @brief How urgently an engine should take a request: 0 is first, 9 is last.
///
/// Requests that can still be on time come in the order of their priority, before all that will be late anyway. Under overload some are then on
/// time and the others late; first come, first served would make all of them late.
std::uint32_t urgencyOf(std::uint32_t priority, std::chrono::microseconds expectedWait, std::chrono::microseconds timeToTarget);

} // namespace auburndrum::decision
