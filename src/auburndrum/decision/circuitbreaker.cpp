#include "auburndrum/decision/circuitbreaker.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace auburndrum::decision {

CircuitBreaker::CircuitBreaker(const CircuitBreakerOptions &options)
    : m_options(options)
    , m_pause(options.firstPause)
{
}

bool CircuitBreaker::allowsRequest(Instant now) const
{
    return m_state == State::Closed || now >= m_nextProbeAt;
}

void CircuitBreaker::onSent(Instant now)
{
    if (m_state == State::Closed || now < m_nextProbeAt) {
        return;
    }
    m_state = State::HalfOpen;
    m_nextProbeAt = now + m_options.probeTimeout;
}

void CircuitBreaker::recordSuccess()
{
    // A response to a request sent before the pause says nothing about the current state of the server.
    if (m_state == State::Open) {
        return;
    }
    m_state = State::Closed;
    m_consecutiveFailures = 0;
    m_pause = m_options.firstPause;
}

void CircuitBreaker::recordFailure(Instant now, absl::BitGenRef random)
{
    ++m_consecutiveFailures;
    if (m_state == State::Open || (m_state == State::Closed && m_consecutiveFailures < m_options.failureThreshold)) {
        return;
    }
    if (m_state == State::HalfOpen) {
        m_pause = std::min(2 * m_pause, m_options.maxPause);
    }
    open(m_pause, now, random);
}

void CircuitBreaker::recordUnreachable(Instant now, absl::BitGenRef random)
{
    ++m_consecutiveFailures;
    if (m_state == State::Open || (m_state == State::Closed && m_consecutiveFailures < m_options.failureThreshold)) {
        return;
    }
    open(m_options.firstPause, now, random);
}

void CircuitBreaker::open(std::chrono::nanoseconds pause, Instant now, absl::BitGenRef random)
{
    m_state = State::Open;
    const auto spread = absl::Uniform<std::int64_t>(random, 0, pause.count() / 4 + 1);
    m_nextProbeAt = now + pause + std::chrono::nanoseconds(spread);
}

void CircuitBreaker::reset()
{
    m_state = State::Closed;
    m_consecutiveFailures = 0;
    m_pause = m_options.firstPause;
}

CircuitBreaker::State CircuitBreaker::state() const
{
    return m_state;
}

} // namespace auburndrum::decision
