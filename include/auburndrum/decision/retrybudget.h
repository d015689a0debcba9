#pragma once

#include "auburndrum/base/time.h"

#include <chrono>

namespace auburndrum::decision {

/// Options of a RetryBudget.
struct RetryBudgetOptions
{
    double retriesPerFirstAttempt = 0.1; ///< retries and hedges allowed for each first attempt
    double extraRetriesPerSecond = 1; ///< allowed in addition, so that a service with few requests can retry
    double maxSavedRetries = 20; ///< upper bound of unused retries that accumulate
};

/// Limits retries and hedges of one service, so that they don't overload a failing service. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options = {});

    /// Records the first attempt of a request, which adds to the budget.
    void recordFirstAttempt();

    /// Acquires one retry or hedge from the budget; false when it is used up.
    bool tryAcquire(Instant now);

private:
    RetryBudgetOptions m_options;
    double m_savedRetries;
    Instant m_lastRefill{};
    bool m_hasRefilled = false;
};

} // namespace auburndrum::decision
