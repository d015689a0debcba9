#include "auburndrum/decision/leaseholder.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

LeaseHolder::LeaseHolder(LeaseHolderOptions options, Instant now)
    : m_options(std::move(options))
    , m_currentEnd(now)
    , m_othersEnd(now)
{
}

void LeaseHolder::onLeaseChanged(Instant now, const LeaseState *current)
{
    if (current == nullptr || (m_current && m_current->offset == current->offset)) {
        return;
    }
    const bool isPendingAppend = m_pendingAppend && m_pendingAppend->nonce == current->lease.nonce;
    const bool renews = isRenewal(current->lease);
    const bool isSameHolder = m_current && m_current->lease.holder == current->lease.holder;
    if (!isSameHolder) {
        m_othersEnd = m_currentEnd;
    }
    m_currentEnd = std::max(now + current->lease.duration, m_othersEnd);
    m_current = *current;
    if (!isPendingAppend) {
        m_heldLease.reset();
        return;
    }
    const Instant ordersFrom = renews ? m_heldLease->ordersFrom : m_pendingAppend->previousEnd + m_options.orderTimeout;
    m_heldLease = HeldLease{current->offset, m_pendingAppend->startedAt + m_options.duration - m_options.safetyMargin, ordersFrom};
    m_pendingAppend.reset();
}

void LeaseHolder::forget(Instant now)
{
    m_current.reset();
    m_heldLease.reset();
    m_pendingAppend.reset();
    m_currentEnd = now + m_options.duration;
    m_othersEnd = m_currentEnd;
}

void LeaseHolder::cancelAppend(const std::string &nonce)
{
    if (m_pendingAppend && m_pendingAppend->nonce == nonce) {
        m_pendingAppend.reset();
    }
}

std::optional<LeaseRecord> LeaseHolder::tick(Instant now)
{
    const bool isWaiting = m_pendingAppend && now < m_pendingAppend->startedAt + m_options.appendTimeout;
    if (isWaiting || !isAppendDue(now)) {
        return std::nullopt;
    }
    return requestLease(now);
}

void LeaseHolder::addTakeoverDelay(std::chrono::milliseconds delay)
{
    m_options.takeoverDelay += delay;
}

std::optional<LeaseRecord> LeaseHolder::resign()
{
    if (!std::exchange(m_heldLease, std::nullopt)) {
        return std::nullopt;
    }
    m_pendingAppend.reset();
    return LeaseRecord{m_options.resource, m_options.incarnation, m_options.newNonce(), m_current->offset, std::chrono::milliseconds(0)};
}

std::optional<Offset> LeaseHolder::fencingNumber(Instant now) const
{
    const bool mayOrder = m_heldLease && now >= m_heldLease->ordersFrom && now < m_heldLease->end;
    return mayOrder ? std::optional(m_heldLease->offset) : std::nullopt;
}

bool LeaseHolder::isRenewal(const LeaseRecord &record) const
{
    return m_heldLease && record.replaces == m_heldLease->offset;
}

bool LeaseHolder::hasPendingAppend() const
{
    return m_pendingAppend.has_value();
}

bool LeaseHolder::isOwnRecord() const
{
    return m_current && m_current->lease.holder == m_options.incarnation;
}

bool LeaseHolder::isAppendDue(Instant now) const
{
    if (m_heldLease) {
        return now >= m_heldLease->end - m_options.duration / 2;
    }
    // An own record that does not count as held, such as one that was folded too late, is replaced at once.
    return isOwnRecord() || now >= m_currentEnd + m_options.takeoverDelay;
}

LeaseRecord LeaseHolder::requestLease(Instant now)
{
    const Offset replaces = m_current ? m_current->offset : 0;
    m_pendingAppend = PendingAppend{m_options.newNonce(), now, m_currentEnd};
    return {m_options.resource, m_options.incarnation, m_pendingAppend->nonce, replaces, m_options.duration};
}

} // namespace auburndrum::decision
