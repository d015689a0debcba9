#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/logrecord.h"

#include <chrono>
#include <functional>
#include <optional>

namespace auburndrum::decision {

/// Options of @ref SnapshotPlanner.
struct SnapshotPlannerOptions
{
    std::chrono::milliseconds interval = std::chrono::hours(1); ///< longest time between snapshots; well below the log's retention
    Offset maxEntries = 50000; ///< most entries between snapshots
    std::function<std::chrono::milliseconds()>
        randomDelay; ///< delay before a due snapshot is appended; differs between processes, so that one of them is first
};

/// Decides when this process appends a snapshot: after a random delay, unless another process appends one first.
class SnapshotPlanner
{
public:
    SnapshotPlanner(SnapshotPlannerOptions options, Instant now);

    /// Handles that the fold read a snapshot of any process at this offset.
    void onSnapshotFolded(Instant now, Offset offset);

    /// Whether to append a snapshot now. After a true result, another one is due after a new random delay unless the appended snapshot is folded first.
    bool isDue(Instant now, Offset offset);

private:
    SnapshotPlannerOptions m_options;
    Instant m_lastSnapshotAt;
    Offset m_lastSnapshotOffset = 0;
    std::optional<Instant> m_appendAt;
};

} // namespace auburndrum::decision
