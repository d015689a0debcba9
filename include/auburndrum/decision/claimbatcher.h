#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/logrecord.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace auburndrum::decision {

/// Options of the batcher.
struct ClaimBatcherOptions
{
    double fleetAppendsPerSecond = 280; ///< of all batching processes together; the rest of the log's 300 is for operators and leases
    std::size_t maxBatchItems = 400; ///< items in one append
    std::size_t maxQueuedItems = 4000; ///< items held back; more are refused
};

/// One thing that waits for an append.
using BatchItem = std::variant<Claim, Outcome, Release>;

/// @brief Collects claims, outcomes and releases of many calls into few appends.
///
/// Each of N batching processes appends once in N / fleetAppendsPerSecond. The first item after a quiet
/// time goes out at once.
class ClaimBatcher
{
public:
    explicit ClaimBatcher(ClaimBatcherOptions options = {});

    /// Tells how many live processes append batches. At least 1.
    void setBatcherCount(std::size_t n);

    /// Takes an item. False when too many wait; outcomes and releases are always taken.
    bool add(BatchItem item);

    /// When the next append is due; none while nothing waits.
    std::optional<Instant> nextAppendTime() const;

    /// The records of the append that is due now; empty when none is.
    std::vector<LogRecord> takeDueRecords(Instant now);

    /// The log refused an append because of its rate: none before this time.
    void pauseUntil(Instant until);

    std::chrono::nanoseconds appendInterval() const;
    std::size_t queuedItems() const;

private:
    ClaimBatcherOptions m_options;
    std::size_t m_batcherCount = 1;
    Instant m_nextAppendTime;
    std::deque<BatchItem> m_items;
};

} // namespace auburndrum::decision
