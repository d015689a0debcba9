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

/// @brief Bounds the extra attempts of this process at one service by its own requests in a sliding window.
///
/// Each process spends only what its own requests earn, so the sum over all processes keeps to the ratio whatever
/// they believe of each other. Not thread-safe.
class RetryAllowance
{
public:
    explicit RetryAllowance(const RetryAllowanceOptions &options);

    void countRequest(Instant now);
    /// Takes one extra attempt; false when the window allows none.
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
