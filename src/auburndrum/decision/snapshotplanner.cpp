#include "auburndrum/decision/snapshotplanner.h"

#include <utility>

namespace auburndrum::decision {

SnapshotPlanner::SnapshotPlanner(SnapshotPlannerOptions options, Instant now)
    : m_options(std::move(options))
    , m_lastSnapshotAt(now)
{
}

void SnapshotPlanner::onSnapshotFolded(Instant now, Offset offset)
{
    m_lastSnapshotAt = now;
    m_lastSnapshotOffset = offset;
    m_appendAt.reset();
}

bool SnapshotPlanner::isDue(Instant now, Offset offset)
{
    const bool isWanted = now >= m_lastSnapshotAt + m_options.interval || offset >= m_lastSnapshotOffset + m_options.maxEntries;
    if (!isWanted) {
        return false;
    }
    if (!m_appendAt) {
        m_appendAt = now + m_options.randomDelay();
    }
    if (now < *m_appendAt) {
        return false;
    }
    m_appendAt.reset();
    return true;
}

} // namespace auburndrum::decision
