#pragma once

#include "auburndrum/base/time.h"

#include <cstddef>
#include <optional>

namespace auburndrum::decision {

struct GossipBudgetOptions
{
    double bytesPerSecond = 4096;
    double burstBytes = 16384;
    double maxDebtBytes = 16384; ///< limit of the overdraft; bytes beyond it are not counted
};

/// A token bucket over the bytes that gossip sends and receives.
class GossipBudget
{
public:
    explicit GossipBudget(GossipBudgetOptions options);

    /// Returns whether tokens are left, so that another exchange may start.
    bool hasTokens(Instant now);
    /// Subtracts @p bytes, also when that overdraws the bucket.
    void charge(std::size_t bytes, Instant now);

private:
    void refill(Instant now);

    GossipBudgetOptions m_options;
    double m_tokens;
    std::optional<Instant> m_lastRefill;
};

} // namespace auburndrum::decision
