#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/retrybudget.h"

#include <chrono>

namespace auburndrum::decision {

/// An attempt that has not brought its first output yet.
struct HedgeInput
{
    bool repeatable = false; ///< the call may run more than once
    bool firstByteSent = false; ///< output has already gone to the caller
    bool hedged = false; ///< a second attempt is under way
    std::chrono::nanoseconds waitTime{};
    std::chrono::nanoseconds predictedFirstTokenTime{};
};

/// Options of hedging.
struct HedgeOptions
{
    double latenessFactor = 3; ///< times the predicted first token
    std::chrono::nanoseconds minWait = std::chrono::milliseconds(300);
};

/// True when a second attempt may start on another server; takes it out of @p budget.
///
/// Never for a call that may not be repeated, nor after the first output byte.
bool tryHedge(const HedgeInput &input, RetryBudget &budget, Instant now, const HedgeOptions &options = {});

} // namespace auburndrum::decision
