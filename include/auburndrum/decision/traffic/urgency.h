#pragma once

#include <chrono>
#include <cstdint>

namespace auburndrum::decision {

/// @brief How urgently an engine should take a request: 0 is first, 9 is last.
///
/// Requests that can still be on time come in the order of their priority, before all that will be late anyway. Under overload some are then on
/// time and the others late; first come, first served would make all of them late.
std::uint32_t urgencyOf(std::uint32_t priority, std::chrono::microseconds expectedWait, std::chrono::microseconds timeToTarget);

/// Whether a request may be sent that is expected to wait so long: one that would outlast its caller's patience only keeps others waiting.
bool canStartInTime(std::chrono::microseconds expectedWait, std::chrono::microseconds timeLeft);

/// @brief When a caller that was turned away should come back.
///
/// Part of the wait that it met, as by then others have left; spread by `random` from 0 to 1, so that callers turned away together don't return together.
std::chrono::milliseconds retryDelay(std::chrono::microseconds expectedWait, double random);

} // namespace auburndrum::decision
