#pragma once

#include <chrono>
#include <functional>

namespace auburndrum::tests {

/// Longest wait for a condition that should come about; far above what any of them takes.
constexpr std::chrono::milliseconds GenerousLimit{60'000};

/// Runs the event loop until the condition holds. Returns whether it did within the limit.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = GenerousLimit);

/// Runs the event loop for this long.
void waitFor(std::chrono::milliseconds duration);

} // namespace auburndrum::tests
