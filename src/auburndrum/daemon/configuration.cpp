#include "auburndrum/daemon/daemon.h"

namespace auburndrum::daemon {

void Daemon::fold(const platform::StoredRecord &record)
{
    const decision::EntryChanges entry = m_fold.applyEntry(record.offset, record.at, record.value);
    const bool isFound = entry.result == decision::ApplyResult::SnapshotLoaded;
    if (isFound || entry.result == decision::ApplyResult::Gap) {
        m_follower.rewindTo(m_fold.offset() + 1);
    }
    m_directoryStale = m_directoryStale || isFound;
    if (entry.hasSnapshot) {
        m_snapshots.onSnapshotFolded(monotonicNow(), record.offset);
    }
    if (!entry.changedDocuments.empty()) {
        m_documentOffset = record.offset;
        keepHistory(record);
    }
    for (const std::string &it : entry.changedDocuments) {
        m_directoryStale = true;
        m_timeline.record(EventKind::DocumentInForce, {}, it);
    }
    for (const decision::ClaimDecision &it : entry.claimDecisions) {
        m_claims.tookClaim(it);
    }
    for (const std::string &it : entry.settledNonces) {
        m_claims.tookSettlement(it);
    }
}

void Daemon::handleCaughtUp()
{
    rebuildDirectory();
    m_publisher.handleFolded();
    // Only documents count here: peers would hurry for every claim otherwise.
    m_entries->setConfigOffset(m_documentOffset);
    if (m_fold.isSearchingSnapshot() || std::exchange(m_isCaughtUp, true)) {
        return;
    }
    m_timeline.record(EventKind::DaemonReady, {});
    m_log.info("ready at log offset {}", m_fold.offset());
}

void Daemon::appendSnapshot()
{
    if (!m_isCaughtUp || !m_follower.isReachable() || !m_fold.mayWriteSnapshot() || !m_snapshots.isDue(monotonicNow(), m_fold.offset())) {
        return;
    }
    m_timeline.record(EventKind::SnapshotAppended, {}, std::to_string(m_fold.offset()));
    // A lost reply needs no care: a second snapshot is harmless, and a missing one is planned again.
    m_logClient.append(decision::encodeEntry({m_fold.snapshot()}), [](const platform::AppendResult &) {
    });
}

void Daemon::handleCut(std::uint64_t first)
{
    m_log.warning("log is cut before {}, looking for a snapshot", first);
    m_fold.startSnapshotSearch();
}

void Daemon::rebuildDirectory()
{
    if (std::exchange(m_directoryStale, false)) {
        m_directory = m_directoryBuilder.build(m_fold.config());
    }
}

void Daemon::keepHistory(const platform::StoredRecord &record)
{
    const auto entry = decision::decodeEntry(record.value);
    if (!entry) {
        return;
    }
    for (const decision::LogRecord &it : entry.value().records) {
        const auto *publish = std::get_if<decision::PublishRecord>(&it);
        if (publish != nullptr && m_fold.config().version(publish->document) == record.offset) {
            m_history.add(record.offset, record.at, *publish);
        }
    }
}

bool Daemon::isLogUp() const
{
    return m_isCaughtUp && m_follower.isReachable();
}

bool Daemon::adoptFold(const entry::ConfigTransfer &transfer)
{
    const auto records = decision::decodeEntry(transfer.text);
    if (!transfer.isFold || !records || records.value().records.size() != 1) {
        return false;
    }
    const auto *snapshot = std::get_if<decision::SnapshotRecord>(&records.value().records.front());
    if (snapshot == nullptr || !m_fold.loadSnapshot(*snapshot)) {
        return false;
    }
    m_follower.rewindTo(m_fold.offset() + 1);
    m_directoryStale = true;
    m_documentOffset = m_fold.offset();
    // Records that this process didn't see one by one may have decided its own claims.
    m_claims.reconcile();
    handleCaughtUp();
    m_log.info("took a peer's fold at log offset {}", m_fold.offset());
    return true;
}

} // namespace auburndrum::daemon
