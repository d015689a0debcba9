#pragma once

#include "auburndrum/base/time.h"

#include <cstddef>
#include <optional>

namespace auburndrum::decision {

struct GossipBudgetOptions
{
    double bytesPerSecond = 4096;
    double burstBytes = 16384;
    double maxDebtBytes = 16384; ///< what one exchange takes beyond this is not paid back
};

/// A token bucket over the bytes that gossip sends and receives.
class GossipBudget
{
public:
    explicit GossipBudget(GossipBudgetOptions options);

    /// Returns whether another exchange may start.
    bool hasTokens(Instant now);
    /// Takes @p bytes, which may overdraw.
    void charge(std::size_t bytes, Instant now);

private:
    void refill(Instant now);

    GossipBudgetOptions m_options;
    double m_tokens;
    std::optional<Instant> m_lastRefill;
};

} // namespace auburndrum::decision
