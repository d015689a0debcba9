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

/// Options of @ref ClaimBatcher.
struct ClaimBatcherOptions
{
    double fleetAppendsPerSecond = 280; ///< limit of all batching processes together; the rest of the log's 300 appends per second is for operators and leases
    std::size_t maxBatchItems = 400; ///< items in one append at most
    std::size_t maxQueuedItems = 4000; ///< further claims are refused while this many items wait
};

/// A claim, outcome or release that waits to be appended to the log.
using BatchItem = std::variant<Claim, Outcome, Release>;

/// @brief Batches claims, outcomes and releases of many calls, to stay within the log's append rate.
///
/// Each of N batching processes appends at most once in N / fleetAppendsPerSecond seconds. The first item after
/// an idle interval can be appended at once.
class ClaimBatcher
{
public:
    explicit ClaimBatcher(ClaimBatcherOptions options = {});

    /// Sets the number of live processes that append batches. Values below 1 count as 1.
    void setBatcherCount(std::size_t n);

    /// Queues an item. Returns false for a claim when the queue is full; outcomes and releases are always queued.
    bool add(BatchItem item);

    /// Time of the next append; none while the queue is empty.
    std::optional<Instant> nextAppendTime() const;

    /// Removes up to maxBatchItems items from the queue and returns them as the records of one append. Empty when no append is due.
    std::vector<LogRecord> takeDueRecords(Instant now);

    /// Makes no append due before this time. For when the log refused an append because of its rate.
    void pauseUntil(Instant until);

    /// Shortest time between two appends of this process.
    std::chrono::nanoseconds appendInterval() const;

    std::size_t queuedItems() const;

private:
    ClaimBatcherOptions m_options;
    std::size_t m_batcherCount = 1;
    Instant m_nextAppendTime;
    std::deque<BatchItem> m_items;
};

} // namespace auburndrum::decision
