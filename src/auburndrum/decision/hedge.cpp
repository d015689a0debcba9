#include "auburndrum/decision/hedge.h"

#include <algorithm>

namespace auburndrum::decision {

bool tryHedge(const HedgeInput &input, RetryBudget &budget, Instant now, const HedgeOptions &options)
{
    if (!input.repeatable || input.firstByteSent || input.hedged) {
        return false;
    }
    const std::chrono::duration<double, std::nano> late = input.predictedFirstTokenTime * options.latenessFactor;
    if (input.waitTime < options.minWait || input.waitTime < late) {
        return false;
    }
    return budget.tryAcquire(now);
}

} // namespace auburndrum::decision
