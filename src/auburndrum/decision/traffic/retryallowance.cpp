#include "auburndrum/decision/traffic/retryallowance.h"

namespace auburndrum::decision {

RetryAllowance::RetryAllowance(const RetryAllowanceOptions &options)
    : m_options(options)
{
}

void RetryAllowance::countRequest(Instant now)
{
    m_requests.push_back(now);
    expire(now);
}

bool RetryAllowance::tryTake(Instant now)
{
    if (left(now) < 1.0) {
        return false;
    }
    m_extra.push_back(now);
    return true;
}

double RetryAllowance::left(Instant now)
{
    expire(now);
    return m_options.ratio * static_cast<double>(m_requests.size()) - static_cast<double>(m_extra.size());
}

void RetryAllowance::expire(Instant now)
{
    const Instant oldest = now - m_options.window;
    while (!m_requests.empty() && m_requests.front() <= oldest) {
        m_requests.pop_front();
    }
    while (!m_extra.empty() && m_extra.front() <= oldest) {
        m_extra.pop_front();
    }
}

} // namespace auburndrum::decision
