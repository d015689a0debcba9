#include "auburndrum/decision/logfold.h"

#include <algorithm>
#include <variant>

namespace auburndrum::decision {

LogFold::LogFold(ClaimLedgerOptions options)
    : m_claims(options)
{
}

FoldedEntry LogFold::feed(Offset offset, WallTime at, const std::string &text)
{
    if (m_isSearching) {
        return search(text);
    }
    FoldedEntry result;
    if (offset != m_offset + 1) {
        result.result = offset <= m_offset ? FeedResult::Old : FeedResult::Gap;
        return result;
    }
    m_offset = offset;
    // The log's clock may step back. Windows must end in the same order in every fold.
    m_logTime = std::max(m_logTime, at);
    m_claims.expire(m_logTime);
    m_config.expire(m_logTime);
    const RecordResult<LogEntry> entry = decodeEntry(text);
    if (!entry) {
        ++(entry.error() == RecordError::NewerFormat ? m_skipped.newer : m_skipped.unreadable);
        return result;
    }
    m_skipped.unreadable += entry.value().unreadable;
    m_skipped.newer += entry.value().newer;
    for (const LogRecord &record : entry.value().records) {
        std::visit(
            [&](const auto &it) {
                apply(offset, it, result);
            },
            record);
    }
    return result;
}

void LogFold::searchSnapshot()
{
    m_isSearching = true;
}

bool LogFold::adopt(const SnapshotRecord &snapshot)
{
    if (snapshot.covers <= m_offset) {
        return false;
    }
    m_config.load(snapshot);
    m_claims.load(snapshot);
    m_leases.load(snapshot);
    m_offset = snapshot.covers;
    m_logTime = snapshot.at;
    m_isSearching = false;
    return true;
}

SnapshotRecord LogFold::snapshot() const
{
    SnapshotRecord record;
    record.covers = m_offset;
    record.at = m_logTime;
    m_config.save(record);
    m_claims.save(record);
    m_leases.save(record);
    return record;
}

bool LogFold::mayWriteSnapshot() const
{
    return m_offset > 0 && !m_isSearching && m_skipped.newer == 0;
}

Offset LogFold::offset() const
{
    return m_offset;
}

WallTime LogFold::logTime() const
{
    return m_logTime;
}

bool LogFold::isSearching() const
{
    return m_isSearching;
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

FoldedEntry LogFold::search(const std::string &text)
{
    FoldedEntry result;
    result.result = FeedResult::Searching;
    if (!mayHoldSnapshot(text)) {
        return result;
    }
    const RecordResult<LogEntry> entry = decodeEntry(text);
    if (!entry) {
        return result;
    }
    for (const LogRecord &record : entry.value().records) {
        const auto *snapshot = std::get_if<SnapshotRecord>(&record);
        if (snapshot != nullptr && adopt(*snapshot)) {
            result.result = FeedResult::Found;
        }
    }
    return result;
}

void LogFold::apply(Offset offset, const PublishRecord &record, FoldedEntry &result)
{
    if (m_config.apply(offset, m_logTime, record)) {
        result.documents.push_back(record.document);
    }
}

void LogFold::apply(Offset offset, const ClaimBatchRecord &record, FoldedEntry &result)
{
    for (const Claim &it : record.claims) {
        result.decisions.push_back(m_claims.apply(offset, m_logTime, it));
    }
}

void LogFold::apply(Offset /*offset*/, const OutcomeBatchRecord &record, FoldedEntry &result)
{
    for (const Outcome &it : record.outcomes) {
        if (m_claims.apply(it)) {
            result.settled.push_back(it.nonce);
        }
    }
}

void LogFold::apply(Offset /*offset*/, const ReleaseRecord &record, FoldedEntry &result)
{
    for (const Release &it : record.releases) {
        if (m_claims.apply(it)) {
            result.settled.push_back(it.nonce);
        }
    }
}

void LogFold::apply(Offset offset, const LeaseRecord &record, FoldedEntry &result)
{
    if (m_leases.apply(offset, record)) {
        result.leases.push_back(record.resource);
    }
}

void LogFold::apply(Offset /*offset*/, const SnapshotRecord & /*record*/, FoldedEntry &result)
{
    result.hasSnapshot = true;
}

} // namespace auburndrum::decision
