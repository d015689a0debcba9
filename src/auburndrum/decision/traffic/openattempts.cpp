#include "auburndrum/decision/traffic/openattempts.h"

#include <algorithm>

namespace auburndrum::decision {

OverlapDecision limitOverlap(const std::vector<OpenAttempt> &attempts, std::chrono::milliseconds maxOverlap, Instant now)
{
    OverlapDecision decision;
    std::optional<std::size_t> kept;
    std::size_t begun = 0;
    std::optional<Instant> next;
    for (std::size_t n = 0; n < attempts.size(); ++n) {
        const OpenAttempt &it = attempts[n];
        if (!it.answeredAt) {
            continue;
        }
        if (now < *it.answeredAt + maxOverlap) {
            ++begun;
            next = std::min(next.value_or(Instant::max()), *it.answeredAt + maxOverlap);
            continue;
        }
        if (!kept) {
            ++begun;
            kept = n;
            continue;
        }
        const bool isLater = it.lastBytesAt > attempts[*kept].lastBytesAt;
        decision.ending.push_back(isLater ? *kept : n);
        kept = isLater ? n : *kept;
    }
    if (begun > 1) {
        decision.checkAt = next;
    }
    return decision;
}

} // namespace auburndrum::decision
