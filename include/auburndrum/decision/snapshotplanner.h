#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/logrecord.h"

#include <chrono>
#include <functional>
#include <optional>

namespace auburndrum::decision {

/// Options of the snapshot planner.
struct SnapshotPlannerOptions
{
    std::chrono::milliseconds interval = std::chrono::hours(1); ///< between snapshots; well under the log's retention
    Offset maxEntries = 50000; ///< between snapshots
    std::function<std::chrono::milliseconds()> randomDelay; ///< differs between processes, so that one goes first
};

/// Decides when this process appends a snapshot: after a random delay, unless another one came first.
class SnapshotPlanner
{
public:
    SnapshotPlanner(SnapshotPlannerOptions options, Instant now);

    /// The fold passed a snapshot, of whichever process.
    void onSnapshotFolded(Instant now, Offset offset);

    /// Whether to append one now. The next answer waits for the appended one to be seen, or a whole delay.
    bool isDue(Instant now, Offset offset);

private:
    SnapshotPlannerOptions m_options;
    Instant m_lastSnapshotAt;
    Offset m_lastSnapshotOffset = 0;
    std::optional<Instant> m_appendAt;
};

} // namespace auburndrum::decision
