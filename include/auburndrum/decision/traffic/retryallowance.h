#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace auburndrum::decision {

/// Options of a RetryAllowance.
struct RetryAllowanceOptions
{
    double ratio = 0.1; ///< extra attempts allowed per request within one window
    std::chrono::milliseconds window{10000};
};

/// @brief Limits this process's extra attempts at one service to a ratio of its own requests in a sliding window.
///
/// Since each process counts only its own requests, the sum over all processes stays within the ratio without
/// coordination. Not thread-safe.
class RetryAllowance
{
public:
    explicit RetryAllowance(const RetryAllowanceOptions &options);

    void countRequest(Instant now);
    /// Counts one extra attempt; returns false when the window allows none.
    bool tryAcquire(Instant now);
    /// Extra attempts that the window still allows.
    double remaining(Instant now);

private:
    void removeExpired(Instant now);

    RetryAllowanceOptions m_options;
    std::deque<Instant> m_requests;
    std::deque<Instant> m_extraAttempts;
};

} // namespace auburndrum::decision
