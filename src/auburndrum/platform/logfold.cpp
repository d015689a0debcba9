#include "auburndrum/platform/logfold.h"

namespace auburndrum::platform {

LogFold::LogFold(decision::ClaimLedgerOptions options, LogFoldHooks hooks)
    : m_ledger(options)
    , m_hooks(std::move(hooks))
{
}

void LogFold::apply(const StoredRecord &record)
{
    if (record.offset <= m_offset) {
        return;
    }
    const auto entry = decision::decodeEntry(record.value);
    if (!entry) {
        ++m_skipped;
        m_offset = record.offset;
        return;
    }
    m_skipped += entry.value().unreadable + entry.value().newer;
    for (const decision::LogRecord &it : entry.value().records) {
        apply(record, it);
    }
    m_offset = record.offset;
    m_ledger.expire(record.at);
    m_config.expire(record.at);
}

void LogFold::apply(const StoredRecord &stored, const decision::LogRecord &record)
{
    if (const auto *publish = std::get_if<decision::PublishRecord>(&record)) {
        if (m_config.apply(stored.offset, stored.at, *publish)) {
            m_hooks.onDocument(publish->document);
        }
        return;
    }
    if (const auto *batch = std::get_if<decision::ClaimBatchRecord>(&record)) {
        for (const decision::Claim &it : batch->claims) {
            m_hooks.onClaim(m_ledger.apply(stored.offset, stored.at, it));
        }
        return;
    }
    if (const auto *batch = std::get_if<decision::OutcomeBatchRecord>(&record)) {
        for (const decision::Outcome &it : batch->outcomes) {
            m_ledger.apply(it);
            m_hooks.onSettled(it.nonce);
        }
        return;
    }
    if (const auto *batch = std::get_if<decision::ReleaseRecord>(&record)) {
        for (const decision::Release &it : batch->releases) {
            m_ledger.apply(it);
            m_hooks.onSettled(it.nonce);
        }
        return;
    }
    if (const auto *snapshot = std::get_if<decision::SnapshotRecord>(&record)) {
        take(*snapshot);
    }
}

void LogFold::take(const decision::SnapshotRecord &snapshot)
{
    // Who has folded further already knows all of it.
    if (snapshot.covers <= m_offset) {
        return;
    }
    m_config.load(snapshot);
    m_ledger.load(snapshot);
    for (const auto &[document, state] : m_config.documents()) {
        m_hooks.onDocument(document);
    }
}

} // namespace auburndrum::platform
