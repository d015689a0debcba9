#include "auburndrum/decision/concurrencylimit.h"

#include <algorithm>

namespace auburndrum::decision {

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitOptions &options)
    : m_options(options)
    , m_limit(options.initialLimit)
{
}

bool ConcurrencyLimit::hasCapacity() const
{
    return m_inFlight < limit();
}

void ConcurrencyLimit::onSent()
{
    ++m_inFlight;
}

void ConcurrencyLimit::onFirstToken(std::chrono::nanoseconds firstToken, std::chrono::nanoseconds allowed, Instant now)
{
    const bool late = firstToken > allowed;
    const bool usedUp = 2 * m_inFlight >= limit();
    release();
    if (late) {
        decrease(now);
    } else if (usedUp) {
        m_limit = std::min(m_limit + 1 / m_limit, m_options.maxLimit);
    }
}

void ConcurrencyLimit::onOverloaded(Instant now)
{
    release();
    decrease(now);
}

void ConcurrencyLimit::release()
{
    m_inFlight -= std::min(m_inFlight, 1U);
}

std::uint32_t ConcurrencyLimit::limit() const
{
    return static_cast<std::uint32_t>(m_limit);
}

std::uint32_t ConcurrencyLimit::inFlight() const
{
    return m_inFlight;
}

void ConcurrencyLimit::decrease(Instant now)
{
    if (now - m_lastDecrease < m_options.minDecreaseInterval) {
        return;
    }
    m_lastDecrease = now;
    m_limit = std::max(m_limit * m_options.decreaseFactor, m_options.minLimit);
}

} // namespace auburndrum::decision
