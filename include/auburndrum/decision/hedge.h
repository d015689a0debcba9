#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/retrybudget.h"

#include <chrono>

namespace auburndrum::decision {

/// State of an attempt that may be hedged.
struct HedgeInput
{
    bool repeatable = false; ///< the request may be executed more than once
    bool firstByteSent = false; ///< output was already sent to the caller
    bool hedged = false; ///< a second attempt was already started
    std::chrono::nanoseconds waitTime{};
    std::chrono::nanoseconds predictedFirstTokenTime{};
};

/// Options of tryHedge().
struct HedgeOptions
{
    double latenessFactor = 3; ///< hedge after this multiple of predictedFirstTokenTime
    std::chrono::nanoseconds minWait = std::chrono::milliseconds(300);
};

/// True when a second attempt may start on another server; it is then deducted from @p budget.
///
/// Always false for a request that may not be repeated, and after the first output byte.
bool tryHedge(const HedgeInput &input, RetryBudget &budget, Instant now, const HedgeOptions &options = {});

} // namespace auburndrum::decision
