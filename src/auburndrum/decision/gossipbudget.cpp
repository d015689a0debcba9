#include "auburndrum/decision/gossipbudget.h"

#include <algorithm>
#include <chrono>

namespace auburndrum::decision {

GossipBudget::GossipBudget(GossipBudgetOptions options)
    : m_options(options)
    , m_tokens(options.burstBytes)
{
}

bool GossipBudget::hasTokens(Instant now)
{
    refill(now);
    return m_tokens > 0;
}

void GossipBudget::charge(std::size_t bytes, Instant now)
{
    refill(now);
    m_tokens = std::max(m_tokens - static_cast<double>(bytes), -m_options.maxDebtBytes);
}

void GossipBudget::refill(Instant now)
{
    if (m_lastRefill) {
        const std::chrono::duration<double> passed = now - *m_lastRefill;
        m_tokens = std::min(m_tokens + passed.count() * m_options.bytesPerSecond, m_options.burstBytes);
    }
    m_lastRefill = now;
}

} // namespace auburndrum::decision
