#pragma once

#include "auburndrum/base/time.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// What a transfer over the inter-region link is for.
enum class TransferClass : std::uint8_t {
    Interactive, ///< a caller waits for it
    Background, ///< exports and prefetches; runs on what interactive transfers leave
};

/// Options of a LinkBudget.
struct LinkBudgetOptions
{
    std::string entryName; ///< name of this entry
    double bytesPerSecond = 3e6; ///< of the region pair, this way, for all entries together
    std::uint32_t zones = 1; ///< zones of this region with entries; each has a fixed equal part
    std::chrono::nanoseconds burstTime = std::chrono::milliseconds(30); ///< how much of the rate may be saved up
    std::chrono::nanoseconds settleTime = std::chrono::seconds(5); ///< wait before a gained part is used; peers agree by then
    std::chrono::nanoseconds maxViewAge = std::chrono::seconds(2); ///< no transfers on an older view of the zone
    std::chrono::nanoseconds loanMargin = std::chrono::seconds(1); ///< longest delay of a loan's message
};

/// This entry's part of the byte budget of one region pair, one way. Needs no coordinator. Not thread-safe.
///
/// Each zone has a fixed part, so zones that are cut off from each other can't both use it. Within a zone the part is
/// cut into slots; rendezvous hashing over the live entries gives each slot one owner. A dead entry's slots go to the
/// others after the settle time. A process that was paused waits for the settle time again, since others may use its
/// slots. All entries together stay within 105% of the rate in any second.
class LinkBudget
{
public:
    explicit LinkBudget(const LinkBudgetOptions &options);

    /// Takes the live entries of this zone, itself included. Call it with each heartbeat round.
    void setLiveEntries(const std::vector<std::string> &entries, Instant now);

    /// Takes up to @p bytes out of the budget and returns how many may be sent now.
    std::uint64_t acquire(std::uint64_t bytes, TransferClass transferClass, Instant now);

    /// Lends a part of the rate to another entry for @p duration. Returns the rate lent, at most what is held.
    double lend(double bytesPerSecond, std::chrono::nanoseconds duration, Instant now);

    /// Takes a loan from its receipt on.
    void borrow(double bytesPerSecond, std::chrono::nanoseconds duration, Instant now);

    /// Bytes per second that this entry may use now.
    double rate(Instant now) const;

    /// Share of the rate used lately, 0 to 1: an idle entry lends, a busy one asks.
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
        double bytesPerSecond = 0; ///< below zero when lent out
        Instant until{};
    };

    double ownedRate(Instant now) const;
    void refill(Instant now);
    bool hasFreshView(Instant now) const;

    LinkBudgetOptions m_options;
    std::array<Slot, SlotCount> m_slots{};
    std::vector<Loan> m_loans;
    double m_availableBytes = 0; ///< bytes that may be sent now
    double m_usedBytesPerSecond = 0; ///< bytes per second, smoothed
    Instant m_lastRefill{};
    Instant m_lastView{};
    Instant m_lastShortfall{}; ///< when an interactive transfer last got less than it wanted
    bool m_hasView = false;
    bool m_hasShortfall = false;
};

} // namespace auburndrum::decision
