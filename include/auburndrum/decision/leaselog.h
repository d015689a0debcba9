#pragma once

#include "auburndrum/decision/leaseholder.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace auburndrum::decision {

/// Options of @ref LeaseLog.
struct LeaseLogOptions
{
    LeaseHolderOptions holder;
    /// Time after missed records, and after the log's first response, in which this process writes nothing: longer than any lease, and than any order that such
    /// a record allowed is under way.
    std::chrono::milliseconds recoveryTime{20000};
};

/// @brief One process's lease in a log that may drop its history and lose its newest records.
///
/// The newest lease record is in force for every reader, whatever it read before. Each write names nextOffset() as the log's end and is refused by the log
/// unless it ends there, so that only a process that has read every record writes one. A process that missed records forgets its own lease and writes nothing
/// until all that they allowed has ended. The log may have lost records just before its first response to a process, whatever the era's number, so that a
/// process waits then too, unless a lease of the era shows that another one has done so.
class LeaseLog
{
public:
    LeaseLog(LeaseLogOptions options, Instant now);

    /// Offset of the first record that is not known.
    std::uint64_t nextOffset() const
    {
        return m_nextOffset;
    }
    /// Of the log's last response; 0 when unknown.
    std::uint64_t era() const
    {
        return m_era;
    }
    /// Whether the log has responded to this process.
    bool hasResponse() const
    {
        return m_hasResponse;
    }
    /// When all has ended that was allowed before the era of the first response.
    Instant settledAt() const
    {
        return m_settledAt;
    }
    /// Whether the log was read to its end, as far as is known, and nothing is waited for.
    bool isCurrent(Instant now) const
    {
        return m_isAtEnd && now >= m_recoveredAt && now >= m_settledAt;
    }

    /// Whether records of a response with this era can be used; 0 when the response names none. With a new era the log is read anew from nextOffset().
    /// @p knownSince is when another response to this process first named the era, which tells that no record was lost since.
    bool acceptEra(Instant now, std::uint64_t era, std::optional<Instant> knownSince = std::nullopt);
    /// A lease was read whose writer had waited in this era until all that earlier eras allowed had ended.
    void onEraSettled(std::uint64_t era);
    /// The record at this offset is next. Returns whether it is new.
    bool acceptRecord(Instant now, std::uint64_t offset);
    /// Records before this offset can't be read any more. Returns whether any of them is unknown.
    bool onGap(Instant now, std::uint64_t offset);
    /// The log ends before nextOffset(), so that what is known isn't this log's: it is read anew.
    void restart(Instant now);
    void onEndRead()
    {
        m_isAtEnd = true;
    }
    /// The log has, or may have, further records.
    void onBehind()
    {
        m_isAtEnd = false;
    }

    /// Handles a lease record that was read or written, which is in force from now on. @p fencing rises with the record's offset and, before that, with the era
    /// in which it was written. Returns whether it takes the place of this process's own lease, which had not ended.
    bool onLease(Instant now, Offset fencing, const LeaseRecord &lease);
    /// The lease in force; null when none is known.
    const LeaseState *leaseInForce() const
    {
        return m_inForce ? &*m_inForce : nullptr;
    }

    /// Returns the lease record to write at nextOffset() now, if any.
    std::optional<LeaseRecord> tick(Instant now);
    /// A record that tick() returned is not where it was to be written; should it be elsewhere, it doesn't count as held.
    void onWriteRefused(const LeaseRecord &record)
    {
        m_holder.cancelAppend(record.nonce);
    }
    /// @{ As those of @ref LeaseHolder.
    std::optional<LeaseRecord> resign()
    {
        return m_holder.resign();
    }
    void addTakeoverDelay(std::chrono::milliseconds delay)
    {
        m_holder.addTakeoverDelay(delay);
    }
    bool isRenewal(const LeaseRecord &record) const
    {
        return m_holder.isRenewal(record);
    }
    bool hasPendingAppend() const
    {
        return m_holder.hasPendingAppend();
    }
    std::optional<Offset> fencingNumber(Instant now) const
    {
        return m_holder.fencingNumber(now);
    }
    /// @}

private:
    /// Records are unknown that may have allowed something until now.
    void forget(Instant now);

    LeaseLogOptions m_options;
    LeaseHolder m_holder;
    std::optional<LeaseState> m_inForce;
    std::uint64_t m_nextOffset = 0;
    std::uint64_t m_era = 0;
    bool m_hasResponse = false;
    bool m_isAtEnd = false;
    Instant m_recoveredAt; ///< when all has ended that missed records allowed
    Instant m_settledAt;
};

} // namespace auburndrum::decision
