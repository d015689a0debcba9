#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/leasetable.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace auburndrum::decision {

/// Options of one process's part in one lease.
struct LeaseHolderOptions
{
    std::string resource; ///< such as "orders/SERVICE"
    std::string incarnation;
    std::function<std::string()> newNonce;
    std::chrono::milliseconds duration{15000};
    std::chrono::milliseconds safetyMargin{3000}; ///< the holder stops this long before its lease ends
    std::chrono::milliseconds orderTimeout{5000}; ///< longest time that an order given is under way
    std::chrono::milliseconds appendTimeout{2000}; ///< after which the fold tells whether an append came through
    std::chrono::milliseconds takeoverDelay{0}; ///< waits this long past the end of another's lease; differs between processes
};

/// @brief One process's part in one lease.
///
/// A holder counts its time from before its append, a successor from after it has read the record, so
/// that the clocks of two VMs are never compared. The fencing number is the offset of the lease record.
class LeaseHolder
{
public:
    LeaseHolder(LeaseHolderOptions options, Instant now);

    /// The fold has this record in force; null for none. Call it after every change of the lease.
    void onLeaseChanged(Instant now, const LeaseState *current);

    /// The append to make now, if any.
    std::optional<LeaseRecord> tick(Instant now);

    /// The append that gives the lease up early; none when it is not this process's.
    std::optional<LeaseRecord> resign();

    /// The fencing number for an order given now; none when this process may not give one.
    std::optional<Offset> fencingNumber(Instant now) const;

private:
    struct PendingAppend
    {
        std::string nonce;
        Instant startedAt; ///< before the append
        Instant previousEnd; ///< end of the lease that it follows
    };

    struct HeldLease
    {
        Offset offset = 0;
        Instant end; ///< margin taken off
        Instant ordersFrom;
    };

    bool isOwnRecord() const;
    bool isAppendDue(Instant now) const;
    Instant currentLeaseEnd() const;
    LeaseRecord requestLease(Instant now);

    LeaseHolderOptions m_options;
    std::optional<LeaseState> m_current;
    Instant m_currentSeenAt; ///< when the record in force was first seen here
    std::optional<PendingAppend> m_pendingAppend;
    std::optional<HeldLease> m_heldLease;
};

} // namespace auburndrum::decision
