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
    , m_retryDelay(m_options.minRetryDelay)
{
    m_readTimer.setSingleShot(true);
    connect(&m_readTimer, &QTimer::timeout, this, [this] {
        if (m_isSynced) {
            readNext();
        } else {
            start();
        }
    });
}

void KeyedFeed::start()
{
    m_snapshotEnd.reset();
    m_snapshotKeys.clear();
    readPage({});
}

void KeyedFeed::readPage(const std::string &afterKey)
{
    m_sentAt = suspendAwareNow();
    m_store.readNewest(m_options.topic, afterKey, [this](const StoreResult<NewestPage> &result) {
        handlePage(result);
    });
}

void KeyedFeed::handlePage(const StoreResult<NewestPage> &result)
{
    if (!result) {
        handleFailure(result.error());
        return;
    }
    recordAnswer(std::chrono::milliseconds(0));
    const NewestPage &page = result.value();
    if (!acceptEra(page.era)) {
        return;
    }
    if (page.endOffset < m_nextOffset) {
        handleFailure(StoreError::Stale); // the response is older than what was already read
        return;
    }
    // Pages are read at different times, so changes between them are read again from the end offset of the first page.
    if (!m_snapshotEnd) {
        m_snapshotEnd = page.endOffset;
        m_snapshotAt = m_answerGivenAt;
        m_previousCompleteAt = m_completeAt;
    }
    for (const StoreRecord &it : page.records) {
        m_snapshotKeys.insert(it.key);
        if (!m_droppedBeforeEra.contains(it.key)) {
            apply(it);
        }
    }
    if (page.hasMore && !page.records.empty()) {
        readPage(page.records.back().key);
        return;
    }
    finishSnapshot();
}

void KeyedFeed::finishSnapshot()
{
    const auto known = m_presentKeys;
    for (const std::string &it : known) {
        if (!m_snapshotKeys.contains(it)) {
            // The key was removed before the snapshot; a record at the end offset itself is newer.
            apply({*m_snapshotEnd - 1, it, std::nullopt});
        }
    }
    m_droppedBeforeEra.clear();
    m_nextOffset = *m_snapshotEnd;
    m_completeAt = m_snapshotAt;
    m_isSynced = true;
    if (m_hooks.onSynced) {
        m_hooks.onSynced();
    }
    readNext();
}

bool KeyedFeed::acceptEra(std::uint64_t era)
{
    if (era == m_era) {
        return true;
    }
    if (era < m_era) {
        handleFailure(StoreError::Stale);
        return false;
    }
    if (std::exchange(m_era, era) == 0) {
        return true; // the first one known
    }
    for (const auto &[key, offset] : m_offsets) {
        if (!m_presentKeys.contains(key)) {
            m_droppedBeforeEra.insert(key);
        }
    }
    m_offsets.clear();
    m_nextOffset = 0;
    m_regainedAt = suspendAwareNow(); // what is missing now may be written again, as after an outage
    m_isSynced = false;
    if (m_hooks.onNewEra) {
        m_hooks.onNewEra(era);
    }
    start();
    return false;
}

std::chrono::milliseconds KeyedFeed::currentReadInterval() const
{
    const auto grown = std::min(m_options.intervalPerKey * static_cast<std::int64_t>(m_presentKeys.size()), m_options.maxInterval);
    return std::max(m_options.readInterval, grown);
}

void KeyedFeed::readNext()
{
    const auto sinceRead = std::chrono::floor<std::chrono::milliseconds>(suspendAwareNow() - m_lastReadAt);
    if (sinceRead < currentReadInterval()) {
        m_readTimer.start(currentReadInterval() - sinceRead);
        return;
    }
    m_lastReadAt = suspendAwareNow();
    m_sentAt = m_lastReadAt;
    m_store.read(m_options.topic, m_nextOffset, m_options.longPollTimeout, [this](const StoreResult<RecordBatch> &result) {
        handleBatch(result);
    });
}

void KeyedFeed::handleBatch(const StoreResult<RecordBatch> &result)
{
    if (!result) {
        handleFailure(result.error());
        return;
    }
    recordAnswer(result.value().age);
    if (!acceptEra(result.value().era)) {
        return;
    }
    if (result.value().hasGap) {
        m_isSynced = false;
        start();
        return;
    }
    m_previousCompleteAt = std::exchange(m_completeAt, m_answerGivenAt);
    for (const StoreRecord &it : result.value().records) {
        apply(it);
    }
    m_nextOffset = std::max(m_nextOffset, result.value().nextOffset);
    readNext();
}

void KeyedFeed::apply(const StoreRecord &record)
{
    const auto [it, isNew] = m_offsets.try_emplace(record.key, record.offset);
    if (!isNew && record.offset <= it->second) {
        return;
    }
    it->second = record.offset;
    if (record.value) {
        m_presentKeys.insert(record.key);
    } else {
        m_presentKeys.erase(record.key);
    }
    m_hooks.onChange(record.key, record.value, isAfterOutage());
}

void KeyedFeed::recordAnswer(std::chrono::milliseconds age)
{
    const Instant now = suspendAwareNow() - age;
    if (m_lastAnswerAt && now - *m_lastAnswerAt > m_options.longPollTimeout + m_options.outageThreshold) {
        m_regainedAt = now;
    }
    m_lastAnswerAt = now;
    m_answerGivenAt = std::min(now, m_pauses.earliestAnswerTime(m_sentAt));
    m_retryDelay = m_options.minRetryDelay;
    if (m_isStoreLost) {
        m_isStoreLost = false;
        m_regainedAt = now;
        if (m_hooks.onStoreRegained) {
            m_hooks.onStoreRegained();
        }
    }
}

void KeyedFeed::handleFailure(StoreError error)
{
    if (!m_isStoreLost) {
        m_isStoreLost = true;
        if (m_hooks.onStoreLost) {
            m_hooks.onStoreLost(error);
        }
    }
    m_readTimer.start(m_retryDelay);
    m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
}

bool KeyedFeed::isAfterOutage() const
{
    return m_regainedAt && suspendAwareNow() - *m_regainedAt < m_options.postOutageWindow;
}

} // namespace auburndrum::gateway
