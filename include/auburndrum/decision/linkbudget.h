#pragma once

#include "auburndrum/base/time.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Priority class of a transfer over the inter-region link.
enum class TransferClass : std::uint8_t {
    Interactive, ///< a caller waits for the transfer
    Background, ///< exports and prefetches; uses only what interactive transfers leave
};

/// Options of a LinkBudget.
struct LinkBudgetOptions
{
    std::string entryName; ///< name of this entry VM
    double bytesPerSecond = 3e6; ///< rate of the region pair in this direction, for all entry VMs together
    std::uint32_t zones = 1; ///< zones of this region that have entry VMs; each has a fixed equal share of the rate
    std::chrono::nanoseconds burstTime = std::chrono::milliseconds(30); ///< unused rate accumulates for at most this time
    std::chrono::nanoseconds settleTime = std::chrono::seconds(5); ///< delay before a newly owned slot is used, by which all peers agree on its owner
    std::chrono::nanoseconds maxViewAge = std::chrono::seconds(2); ///< no transfers when the list of live entry VMs is older
    std::chrono::nanoseconds loanMargin = std::chrono::seconds(1); ///< longest delay of the message that announces a loan
};

/// This entry VM's share of the byte budget of one region pair in one direction. Needs no coordinator. Not thread-safe.
///
/// Each zone has a fixed share, so that zones which can't reach each other never use the same share. Within a zone the share
/// is divided into slots; rendezvous hashing over the live entry VMs gives each slot one owner. The slots of a dead entry VM
/// pass to the others after the settle time. A process that was paused waits for the settle time again, since others may use
/// its slots. All entry VMs together stay within 105% of the rate in any second.
class LinkBudget
{
public:
    explicit LinkBudget(const LinkBudgetOptions &options);

    /// Sets the live entry VMs of this zone, including this one. Call it with each heartbeat round.
    void setLiveEntries(const std::vector<std::string> &entries, Instant now);

    /// Acquires up to @p bytes from the budget and returns how many may be sent now.
    std::uint64_t acquire(std::uint64_t bytes, TransferClass transferClass, Instant now);

    /// Lends a part of the rate to another entry VM for @p duration. Returns the rate lent, at most rate().
    double lend(double bytesPerSecond, std::chrono::nanoseconds duration, Instant now);

    /// Adds a rate lent by another entry VM, for @p duration from its receipt.
    void borrow(double bytesPerSecond, std::chrono::nanoseconds duration, Instant now);

    /// Bytes per second that this entry VM may use now.
    double rate(Instant now) const;

    /// Recently used part of the rate, 0 to 1: an idle entry VM lends, a busy one requests a loan.
    double utilisation() const;

private:
    static constexpr std::size_t SlotCount = 256;

    struct Slot
    {
        bool owned = false;
        Instant ownedSince{};
    };

    struct Loan
    {
        double bytesPerSecond = 0; ///< negative for a rate lent to another entry VM
        Instant until{};
    };

    double ownedRate(Instant now) const;
    void refill(Instant now);
    bool hasFreshView(Instant now) const;

    LinkBudgetOptions m_options;
    std::array<Slot, SlotCount> m_slots{};
    std::vector<Loan> m_loans;
    double m_availableBytes = 0; ///< bytes that may be sent now
    double m_usedBytesPerSecond = 0; ///< exponentially smoothed
    Instant m_lastRefill{};
    Instant m_lastView{};
    Instant m_lastShortfall{}; ///< when an interactive transfer last received less than it requested
    bool m_hasView = false;
    bool m_hasShortfall = false;
};

} // namespace auburndrum::decision
