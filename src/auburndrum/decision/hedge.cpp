#include "auburndrum/decision/hedge.h"

#include <algorithm>

namespace auburndrum::decision {

bool tryHedge(const HedgeInput &input, RetryBudget &budget, Instant now, const HedgeOptions &options)
{
    if (!input.repeatable || input.firstByteSent || input.hedged) {
        return false;
    }
    const std::chrono::duration<double, std::nano> late = input.predictedFirstToken * options.late;
    if (input.waited < options.minWait || input.waited < late) {
        return false;
    }
    return budget.tryRetry(now);
}

} // namespace auburndrum::decision
