#include "auburndrum/decision/leaselog.h"

#include <utility>

namespace auburndrum::decision {

LeaseLog::LeaseLog(LeaseLogOptions options, Instant now)
    : m_options(std::move(options))
    , m_holder(m_options.holder, now)
    , m_recoveredAt(now)
    , m_settledAt(now)
{
}

bool LeaseLog::acceptEra(Instant now, std::uint64_t era, std::optional<Instant> knownSince)
{
    if (!std::exchange(m_hasResponse, true)) {
        m_era = era;
        m_settledAt = knownSince.value_or(now) + m_options.recoveryTime;
        return true;
    }
    if (era <= m_era) {
        return era == m_era; // an older response says nothing about the present records
    }
    m_era = era;
    restart(now);
    return false;
}

void LeaseLog::onEraSettled(std::uint64_t era)
{
    // Without eras too: a write counts only if the log's answer to it names the same era, and a log that loses records names one in all its answers.
    if (m_hasResponse && era == m_era) {
        m_settledAt = {};
    }
}

void LeaseLog::restart(Instant now)
{
    m_nextOffset = 0;
    forget(now);
}

bool LeaseLog::acceptRecord(Instant now, std::uint64_t offset)
{
    if (offset < m_nextOffset) {
        return false;
    }
    onGap(now, offset);
    m_nextOffset = offset + 1;
    return true;
}

bool LeaseLog::onGap(Instant now, std::uint64_t offset)
{
    if (offset <= m_nextOffset) {
        return false;
    }
    m_nextOffset = offset;
    forget(now);
    return true;
}

bool LeaseLog::onLease(Instant now, Offset fencing, const LeaseRecord &lease)
{
    const bool isForeign = lease.holder != m_options.holder.incarnation;
    const bool isHeld = m_holder.fencingNumber(now).has_value();
    m_inForce = LeaseState{lease, fencing};
    m_holder.onLeaseChanged(now, &*m_inForce);
    return isForeign && isHeld;
}

std::optional<LeaseRecord> LeaseLog::tick(Instant now)
{
    return isCurrent(now) ? m_holder.tick(now) : std::nullopt;
}

void LeaseLog::forget(Instant now)
{
    m_isAtEnd = false;
    m_inForce.reset();
    m_holder.forget(now);
    m_recoveredAt = now + m_options.recoveryTime;
}

} // namespace auburndrum::decision
