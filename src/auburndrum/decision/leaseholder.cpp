#include "auburndrum/decision/leaseholder.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

LeaseHolder::LeaseHolder(LeaseHolderOptions options, Instant now)
    : m_options(std::move(options))
    , m_seenAt(now)
{
}

void LeaseHolder::folded(Instant now, const LeaseState *current)
{
    if (current == nullptr || (m_current && m_current->offset == current->offset)) {
        return;
    }
    const bool isAsked = m_asked && m_asked->nonce == current->lease.nonce;
    const bool isRenewal = m_held && current->lease.replaces == m_held->offset;
    m_current = *current;
    m_seenAt = now;
    if (!isAsked) {
        m_held.reset();
        return;
    }
    const Instant firstOrder = isRenewal ? m_held->firstOrder : m_asked->previousEnd + m_options.orderTimeout;
    m_held = Held{current->offset, m_asked->at + m_options.duration - m_options.margin, firstOrder};
    m_asked.reset();
}

std::optional<LeaseRecord> LeaseHolder::tick(Instant now)
{
    const bool isWaiting = m_asked && now < m_asked->at + m_options.appendTimeout;
    if (isWaiting || !isDue(now)) {
        return std::nullopt;
    }
    return ask(now);
}

std::optional<LeaseRecord> LeaseHolder::resign()
{
    if (!std::exchange(m_held, std::nullopt)) {
        return std::nullopt;
    }
    m_asked.reset();
    return LeaseRecord{m_options.resource, m_options.incarnation, m_options.newNonce(), m_current->offset, std::chrono::milliseconds(0)};
}

std::optional<Offset> LeaseHolder::fencing(Instant now) const
{
    const bool mayOrder = m_held && now >= m_held->firstOrder && now < m_held->end;
    return mayOrder ? std::optional(m_held->offset) : std::nullopt;
}

bool LeaseHolder::isMine() const
{
    return m_current && m_current->lease.holder == m_options.incarnation;
}

bool LeaseHolder::isDue(Instant now) const
{
    if (m_held) {
        return now >= m_held->end - m_options.duration / 2;
    }
    // An own record that this process no longer counts on, such as one that came late, is followed at once.
    return isMine() || now >= currentEnd() + m_options.standbyDelay;
}

Instant LeaseHolder::currentEnd() const
{
    return m_current ? m_seenAt + m_current->lease.duration : m_seenAt;
}

LeaseRecord LeaseHolder::ask(Instant now)
{
    const Offset replaces = m_current ? m_current->offset : 0;
    m_asked = Asked{m_options.newNonce(), now, currentEnd()};
    return {m_options.resource, m_options.incarnation, m_asked->nonce, replaces, m_options.duration};
}

} // namespace auburndrum::decision
