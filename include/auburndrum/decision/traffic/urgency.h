#pragma once

#include <chrono>
#include <cstdint>

namespace auburndrum::decision {

/// @brief Scheduling priority of a request at an engine: 0 is first, 9 is last.
///
/// Requests that can still be on time come in the order of their priority, before all that will be late anyway. Under overload some are then on
/// time and the others late; first come, first served would make all of them late.
std::uint32_t urgencyOf(std::uint32_t priority, std::chrono::microseconds expectedWait, std::chrono::microseconds timeToTarget);

/// Whether a request with this expected wait may be sent: one that would exceed its caller's timeout only delays others.
bool canStartInTime(std::chrono::microseconds expectedWait, std::chrono::microseconds timeLeft);

/// @brief How long a refused caller should wait before it retries.
///
/// A share of the expected wait, since other requests finish meanwhile; spread by `random` from 0 to 1, so that callers refused together
/// don't retry together.
std::chrono::milliseconds retryDelay(std::chrono::microseconds expectedWait, double random);

} // namespace auburndrum::decision
