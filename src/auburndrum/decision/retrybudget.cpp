#include "auburndrum/decision/retrybudget.h"

#include <algorithm>

namespace auburndrum::decision {

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : m_options(options)
    , m_savedRetries(std::min(options.extraRetriesPerSecond, options.maxSavedRetries))
{
}

void RetryBudget::recordFirstAttempt()
{
    m_savedRetries = std::min(m_savedRetries + m_options.retriesPerFirstAttempt, m_options.maxSavedRetries);
}

bool RetryBudget::tryAcquire(Instant now)
{
    if (m_hasRefilled && now > m_lastRefill) {
        const std::chrono::duration<double> elapsed = now - m_lastRefill;
        m_savedRetries = std::min(m_savedRetries + elapsed.count() * m_options.extraRetriesPerSecond, m_options.maxSavedRetries);
    }
    m_lastRefill = m_hasRefilled ? std::max(m_lastRefill, now) : now;
    m_hasRefilled = true;
    if (m_savedRetries < 1) {
        return false;
    }
    m_savedRetries -= 1;
    return true;
}

} // namespace auburndrum::decision
