#include "auburndrum/decision/traffic/retryallowance.h"

namespace auburndrum::decision {

RetryAllowance::RetryAllowance(const RetryAllowanceOptions &options)
    : m_options(options)
{
}

void RetryAllowance::countRequest(Instant now)
{
    m_requests.push_back(now);
    removeExpired(now);
}

bool RetryAllowance::tryAcquire(Instant now)
{
    if (remaining(now) < 1.0) {
        return false;
    }
    m_extraAttempts.push_back(now);
    return true;
}

double RetryAllowance::remaining(Instant now)
{
    removeExpired(now);
    return m_options.ratio * static_cast<double>(m_requests.size()) - static_cast<double>(m_extraAttempts.size());
}

void RetryAllowance::removeExpired(Instant now)
{
    const Instant oldest = now - m_options.window;
    while (!m_requests.empty() && m_requests.front() <= oldest) {
        m_requests.pop_front();
    }
    while (!m_extraAttempts.empty() && m_extraAttempts.front() <= oldest) {
        m_extraAttempts.pop_front();
    }
}

} // namespace auburndrum::decision
