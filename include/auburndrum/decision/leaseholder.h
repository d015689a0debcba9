#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/leasetable.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace auburndrum::decision {

/// Options of @ref LeaseHolder.
struct LeaseHolderOptions
{
    std::string resource; ///< resource of the lease, such as "orders/SERVICE"
    std::string incarnation; ///< incarnation of this process
    std::function<std::string()> newNonce; ///< makes a nonce that is unique to one lease record
    std::chrono::milliseconds duration{15000}; ///< duration of a lease; renewed half a duration before the safety margin begins
    std::chrono::milliseconds safetyMargin{3000}; ///< the holder stops sending orders this long before its lease ends
    std::chrono::milliseconds orderTimeout{5000}; ///< longest time that a sent order is under way; a new holder waits this long after the previous lease
    std::chrono::milliseconds appendTimeout{2000}; ///< an append that is not in the fold after this time is tried again
    std::chrono::milliseconds takeoverDelay{0}; ///< wait after another holder's lease ended; differs between processes, so that one of them appends first
};

/// @brief Acquires and renews one lease for one process.
///
/// The holder counts the lease's duration from before its append, and a successor counts it from the time at which it read
/// the record, so that the clocks of two VMs are never compared. The fencing number is the offset of the lease record.
class LeaseHolder
{
public:
    LeaseHolder(LeaseHolderOptions options, Instant now);

    /// Handles a change of the lease in the fold. @p current is the record in force, null for none. It counts as running no shorter than the lease of another
    /// process that it replaced.
    void onLeaseChanged(Instant now, const LeaseState *current);

    /// Forgets all leases, an own one too: the log lost records. A successor waits as after one that has just been renewed.
    void forget(Instant now);

    /// Returns the lease record to append now, if any.
    std::optional<LeaseRecord> tick(Instant now);

    /// Forgets the appended record with this nonce, unless the fold has shown it: it was refused and will never be there.
    void cancelAppend(const std::string &nonce);

    /// Lets other processes request a lease that ended this much earlier.
    void addTakeoverDelay(std::chrono::milliseconds delay);

    /// Gives up the lease early. Returns the record to append; none when this process does not hold the lease.
    std::optional<LeaseRecord> resign();

    /// Whether a record that tick() returned renews the lease that this process holds: it follows the last one by half a duration less the safety margin at
    /// least.
    bool isRenewal(const LeaseRecord &record) const;

    /// Whether a record was appended that the fold hasn't shown yet.
    bool hasPendingAppend() const;

    /// The fencing number for an order that is sent now; none when this process may not send orders.
    std::optional<Offset> fencingNumber(Instant now) const;

private:
    struct PendingAppend
    {
        std::string nonce;
        Instant startedAt; ///< time before the append
        Instant previousEnd; ///< end of the lease that the record replaces
    };

    struct HeldLease
    {
        Offset offset = 0;
        Instant end; ///< end of the lease, less the safety margin
        Instant ordersFrom; ///< no orders before this time, since an order of the previous holder may still be under way
    };

    bool isOwnRecord() const;
    bool isAppendDue(Instant now) const;
    LeaseRecord requestLease(Instant now);

    LeaseHolderOptions m_options;
    std::optional<LeaseState> m_current;
    Instant m_currentEnd; ///< end of the lease in force, counted from when this process first saw its record, and no earlier than m_othersEnd
    Instant m_othersEnd; ///< the latest end of leases that other processes held before the one that holds the lease in force
    std::optional<PendingAppend> m_pendingAppend;
    std::optional<HeldLease> m_heldLease;
};

} // namespace auburndrum::decision
