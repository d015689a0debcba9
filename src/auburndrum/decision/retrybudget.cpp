#include "auburndrum/decision/retrybudget.h"

#include <algorithm>

namespace auburndrum::decision {

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : m_options(options)
    , m_saved(std::min(options.perSecond, options.maxSaved))
{
}

void RetryBudget::firstAttempt()
{
    m_saved = std::min(m_saved + m_options.ratio, m_options.maxSaved);
}

bool RetryBudget::tryRetry(Instant now)
{
    if (m_started && now > m_last) {
        const std::chrono::duration<double> elapsed = now - m_last;
        m_saved = std::min(m_saved + elapsed.count() * m_options.perSecond, m_options.maxSaved);
    }
    m_last = m_started ? std::max(m_last, now) : now;
    m_started = true;
    if (m_saved < 1) {
        return false;
    }
    m_saved -= 1;
    return true;
}

} // namespace auburndrum::decision
