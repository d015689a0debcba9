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

/// @brief Whether a request should be refused at once rather than sent, since so much waits before it that it would be late.
///
/// A request that is late because of others holds back those behind it and fills memory: an engine whose memory runs out evicts prompts that others need and
/// preempts runs, whose prompts it then reads again. Refusing a few keeps the others on time. A prompt that takes an idle engine most of the target may wait
/// as long again. `target` 0: never.
bool isQueueTooLong(std::chrono::microseconds expectedWait, std::chrono::microseconds idlePrefill, std::chrono::microseconds target);

/// @brief How long a refused caller should wait before it retries.
///
/// A share of the expected wait, since other requests finish meanwhile; spread by `random` from 0 to 1, so that callers refused together
/// don't retry together.
std::chrono::milliseconds retryDelay(std::chrono::microseconds expectedWait, double random);

} // namespace auburndrum::decision
