#pragma once

#include "auburndrum/base/time.h"

#include <chrono>

namespace auburndrum::decision {

/// Options of a RetryBudget.
struct RetryBudgetOptions
{
    double retriesPerFirstAttempt = 0.1; ///< retries and hedges allowed per first attempt
    double extraRetriesPerSecond = 1; ///< allowed besides, so that a quiet service can retry
    double maxSavedRetries = 20; ///< attempts that may be saved up
};

/// Limits retries and hedges of one service, so that a failing service isn't loaded further. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options = {});

    /// Counts a first attempt.
    void recordFirstAttempt();

    /// Takes one retry or hedge out of the budget; false when there is none.
    bool tryAcquire(Instant now);

private:
    RetryBudgetOptions m_options;
    double m_savedRetries;
    Instant m_lastRefill{};
    bool m_hasRefilled = false;
};

} // namespace auburndrum::decision
