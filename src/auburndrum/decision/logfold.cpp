#include "auburndrum/decision/logfold.h"

#include <algorithm>
#include <variant>

namespace auburndrum::decision {

LogFold::LogFold(ClaimLedgerOptions options)
    : m_claims(options)
{
}

EntryChanges LogFold::applyEntry(Offset offset, WallTime at, const std::string &text)
{
    if (m_isSearchingSnapshot) {
        return searchEntry(text);
    }
    EntryChanges result;
    if (offset != m_offset + 1) {
        result.result = offset <= m_offset ? ApplyResult::AlreadyFolded : ApplyResult::Gap;
        return result;
    }
    m_offset = offset;
    // The log's clock may step back. With a time that never decreases, claims and publish outcomes expire in the same order in every fold.
    m_logTime = std::max(m_logTime, at);
    m_claims.expire(m_logTime);
    m_config.expire(m_logTime);
    const RecordResult<LogEntry> entry = decodeEntry(text);
    if (!entry) {
        ++(entry.error() == RecordError::NewerFormat ? m_skipped.newer : m_skipped.unreadable);
        return result;
    }
    m_skipped.unreadable += entry.value().unreadableRecords;
    m_skipped.newer += entry.value().newerRecords;
    for (const LogRecord &record : entry.value().records) {
        std::visit(
            [&](const auto &it) {
                apply(offset, it, result);
            },
            record);
    }
    return result;
}

void LogFold::startSnapshotSearch()
{
    m_isSearchingSnapshot = true;
}

bool LogFold::loadSnapshot(const SnapshotRecord &snapshot)
{
    if (snapshot.covers <= m_offset) {
        return false;
    }
    m_config.loadFrom(snapshot);
    m_claims.loadFrom(snapshot);
    m_leases.loadFrom(snapshot);
    m_offset = snapshot.covers;
    m_logTime = snapshot.at;
    m_isSearchingSnapshot = false;
    return true;
}

SnapshotRecord LogFold::snapshot() const
{
    SnapshotRecord record;
    record.covers = m_offset;
    record.at = m_logTime;
    m_config.saveTo(record);
    m_claims.saveTo(record);
    m_leases.saveTo(record);
    return record;
}

bool LogFold::mayWriteSnapshot() const
{
    return m_offset > 0 && !m_isSearchingSnapshot && m_skipped.newer == 0;
}

Offset LogFold::offset() const
{
    return m_offset;
}

WallTime LogFold::logTime() const
{
    return m_logTime;
}

bool LogFold::isSearchingSnapshot() const
{
    return m_isSearchingSnapshot;
}

const ConfigFold &LogFold::config() const
{
    return m_config;
}

const ClaimLedger &LogFold::claims() const
{
    return m_claims;
}

const LeaseTable &LogFold::leases() const
{
    return m_leases;
}

SkippedRecords LogFold::skipped() const
{
    return m_skipped;
}

EntryChanges LogFold::searchEntry(const std::string &text)
{
    EntryChanges result;
    result.result = ApplyResult::SearchingSnapshot;
    if (!mayContainSnapshot(text)) {
        return result;
    }
    const RecordResult<LogEntry> entry = decodeEntry(text);
    if (!entry) {
        return result;
    }
    for (const LogRecord &record : entry.value().records) {
        const auto *snapshot = std::get_if<SnapshotRecord>(&record);
        if (snapshot != nullptr && loadSnapshot(*snapshot)) {
            result.result = ApplyResult::SnapshotLoaded;
        }
    }
    return result;
}

void LogFold::apply(Offset offset, const PublishRecord &record, EntryChanges &result)
{
    if (m_config.apply(offset, m_logTime, record)) {
        result.changedDocuments.push_back(record.document);
    }
}

void LogFold::apply(Offset offset, const ClaimBatchRecord &record, EntryChanges &result)
{
    for (const Claim &it : record.claims) {
        result.claimDecisions.push_back(m_claims.apply(offset, m_logTime, it));
    }
}

void LogFold::apply(Offset /*offset*/, const OutcomeBatchRecord &record, EntryChanges &result)
{
    for (const Outcome &it : record.outcomes) {
        if (m_claims.apply(it)) {
            result.settledNonces.push_back(it.nonce);
        }
    }
}

void LogFold::apply(Offset /*offset*/, const ReleaseRecord &record, EntryChanges &result)
{
    for (const Release &it : record.releases) {
        if (m_claims.apply(it)) {
            result.settledNonces.push_back(it.nonce);
        }
    }
}

void LogFold::apply(Offset offset, const LeaseRecord &record, EntryChanges &result)
{
    if (m_leases.apply(offset, record)) {
        result.changedLeases.push_back(record.resource);
    }
}

void LogFold::apply(Offset /*offset*/, const SnapshotRecord & /*record*/, EntryChanges &result)
{
    result.hasSnapshot = true;
}

} // namespace auburndrum::decision
