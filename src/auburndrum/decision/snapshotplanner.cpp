#include "auburndrum/decision/snapshotplanner.h"

#include <utility>

namespace auburndrum::decision {

SnapshotPlanner::SnapshotPlanner(SnapshotPlannerOptions options, Instant now)
    : m_options(std::move(options))
    , m_lastAt(now)
{
}

void SnapshotPlanner::snapshotSeen(Instant now, Offset offset)
{
    m_lastAt = now;
    m_lastOffset = offset;
    m_appendAt.reset();
}

bool SnapshotPlanner::isDue(Instant now, Offset offset)
{
    const bool isWanted = now >= m_lastAt + m_options.interval || offset >= m_lastOffset + m_options.maxEntries;
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
