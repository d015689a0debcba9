#include "auburndrum/gateway/keyedfeed.h"

#include <algorithm>

namespace auburndrum::gateway {

const char *toText(StoreError error)
{
    switch (error) {
    case StoreError::Unreachable:
        return "unreachable";
    case StoreError::TimedOut:
        return "timed out";
    case StoreError::Refused:
        return "refused";
    case StoreError::Stale:
        return "stale";
    case StoreError::Conflict:
        return "conflict";
    case StoreError::Malformed:
        return "malformed";
    }
    return "unknown";
}

KeyedFeed::KeyedFeed(KeyedFeedOptions options, const RecordStore &store, KeyedFeedHooks hooks, QObject *parent)
    : QObject(parent)
    , m_options(std::move(options))
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_pause(m_options.firstPause)
{
    m_retry.setSingleShot(true);
    connect(&m_retry, &QTimer::timeout, this, [this] {
        if (m_synced) {
            readOn();
        } else {
            start();
        }
    });
}

void KeyedFeed::start()
{
    m_snapshotEnd.reset();
    m_pageKeys.clear();
    readPage({});
}

void KeyedFeed::readPage(const std::string &afterKey)
{
    m_store.readNewest(m_options.topic, afterKey, [this](const StoreResult<NewestPage> &result) {
        takePage(result);
    });
}

void KeyedFeed::takePage(const StoreResult<NewestPage> &result)
{
    if (!result) {
        failed(result.error());
        return;
    }
    answered(std::chrono::milliseconds(0));
    const NewestPage &page = result.value();
    if (page.endOffset < m_next) {
        failed(StoreError::Stale); // an answer from before what was read already
        return;
    }
    // Pages are not one moment's: what changed between them is read again from the first page's end.
    if (!m_snapshotEnd) {
        m_snapshotEnd = page.endOffset;
    }
    for (const StoreRecord &it : page.records) {
        m_pageKeys.insert(it.key);
        apply(it);
    }
    if (page.hasMore && !page.records.empty()) {
        readPage(page.records.back().key);
        return;
    }
    finishSnapshot();
}

void KeyedFeed::finishSnapshot()
{
    const auto known = m_present;
    for (const std::string &it : known) {
        if (!m_pageKeys.contains(it)) {
            // Its removal came before the snapshot; a record at the end itself is newer.
            apply({*m_snapshotEnd - 1, it, std::nullopt});
        }
    }
    m_next = *m_snapshotEnd;
    m_synced = true;
    if (m_hooks.onSynced) {
        m_hooks.onSynced();
    }
    readOn();
}

std::chrono::milliseconds KeyedFeed::intervalNow() const
{
    const auto grown = std::min(m_options.intervalPerKey * static_cast<std::int64_t>(m_present.size()), m_options.maxInterval);
    return std::max(m_options.readInterval, grown);
}

void KeyedFeed::readOn()
{
    const auto sinceRead = std::chrono::floor<std::chrono::milliseconds>(monotonicNow() - m_readAt);
    if (sinceRead < intervalNow()) {
        m_retry.start(intervalNow() - sinceRead);
        return;
    }
    m_readAt = monotonicNow();
    m_store.read(m_options.topic, m_next, m_options.longRead, [this](const StoreResult<RecordBatch> &result) {
        takeBatch(result);
    });
}

void KeyedFeed::takeBatch(const StoreResult<RecordBatch> &result)
{
    if (!result) {
        failed(result.error());
        return;
    }
    answered(result.value().age);
    if (result.value().hasGap) {
        m_synced = false;
        start();
        return;
    }
    for (const StoreRecord &it : result.value().records) {
        apply(it);
    }
    m_next = std::max(m_next, result.value().nextOffset);
    readOn();
}

void KeyedFeed::apply(const StoreRecord &record)
{
    const auto [it, isNew] = m_offsets.try_emplace(record.key, record.offset);
    if (!isNew && record.offset <= it->second) {
        return;
    }
    it->second = record.offset;
    if (record.value) {
        m_present.insert(record.key);
    } else {
        m_present.erase(record.key);
    }
    m_hooks.onChange(record.key, record.value, isAfterOutage());
}

void KeyedFeed::answered(std::chrono::milliseconds age)
{
    const Instant now = monotonicNow() - age;
    if (m_lastAnswerAt && now - *m_lastAnswerAt > m_options.longRead + m_options.outageAfter) {
        m_regainedAt = now;
    }
    m_previousAnswerAt = std::exchange(m_lastAnswerAt, now);
    m_pause = m_options.firstPause;
    if (m_lost) {
        m_lost = false;
        m_regainedAt = now;
        if (m_hooks.onRegained) {
            m_hooks.onRegained();
        }
    }
}

void KeyedFeed::failed(StoreError error)
{
    if (!m_lost) {
        m_lost = true;
        if (m_hooks.onLost) {
            m_hooks.onLost(error);
        }
    }
    m_retry.start(m_pause);
    m_pause = std::min(m_pause * 2, m_options.maxPause);
}

bool KeyedFeed::isAfterOutage() const
{
    return m_regainedAt && monotonicNow() - *m_regainedAt < m_options.outageEcho;
}

} // namespace auburndrum::gateway
