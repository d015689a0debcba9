#include "auburndrum/gateway/keyedfeed.h"

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int RepeatsUntilLost = 2; // of one read, after which the store counts as lost
constexpr int MaxSlowness = 4; // times the usual answer time that a slow store is given
constexpr int MaxDoublings = 4; // of the time between repeats, while the store is silent

} // namespace

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
    , m_answerTime(m_options.budget.answerTime)
    , m_retryDelay(m_options.minRetryDelay)
{
    m_readTimer.setSingleShot(true);
    m_readTimer.setTimerType(Qt::PreciseTimer);
    m_overdueTimer.setSingleShot(true);
    m_overdueTimer.setTimerType(Qt::PreciseTimer); // a coarse timer is off by up to 5%
    connect(&m_overdueTimer, &QTimer::timeout, this, &KeyedFeed::repeatRead);
    connect(&m_readTimer, &QTimer::timeout, this, [this] {
        if (!m_isSynced) {
            start();
        } else if (m_isCatchingUp) {
            catchUp();
        } else {
            readNext();
        }
    });
}

void KeyedFeed::start()
{
    m_isCatchingUp = false;
    m_historyEnd.reset();
    readSnapshot();
}

void KeyedFeed::catchUp()
{
    m_isCatchingUp = true;
    m_lastReadAt = suspendAwareNow();
    readSnapshot();
}

void KeyedFeed::scheduleCatchUp()
{
    const bool hasRelay = m_options.hasRelay && m_options.hasRelay();
    m_isCatchingUp = !hasRelay; // a relay passes on the newest records alone
    m_readTimer.start(std::max(currentReadInterval(), m_options.budget.pollInterval));
}

void KeyedFeed::readSnapshot()
{
    m_snapshotEnd.reset();
    m_snapshotKeys.clear();
    m_snapshotNews = 0;
    m_hasUnusable = false;
    readPage({});
}

void KeyedFeed::beginRead(milliseconds wait, SendRead send)
{
    ++m_read;
    m_attempt = 0;
    m_send = std::move(send);
    m_readBeganAt = suspendAwareNow();
    sendRead(wait);
}

void KeyedFeed::sendRead(milliseconds wait)
{
    const milliseconds grown = m_answerTime * (1 << std::clamp(m_attempt - RepeatsUntilLost, 0, MaxDoublings));
    m_dueAt = suspendAwareNow() + wait;
    m_isSilenceCertain = false;
    m_overdueTimer.start(wait + std::max(m_answerTime, std::min(grown, m_options.maxRetryDelay)));
    m_send(wait);
}

std::optional<milliseconds> KeyedFeed::timeForBytes() const
{
    const auto silence = sinceBytes();
    const auto overdue = std::chrono::floor<milliseconds>(suspendAwareNow() - m_dueAt);
    // Each further attempt gets more time, so that one of them ends on a link that is nearly full.
    const milliseconds longest = m_options.budget.answerTime * (MaxSlowness << std::min(m_attempt, MaxDoublings));
    const milliseconds left = std::min(m_answerTime - silence.value_or(m_answerTime), longest - overdue);
    return left.count() > 0 ? std::optional(left) : std::nullopt;
}

void KeyedFeed::repeatRead()
{
    // A second answer would compete for the link with the one that still arrives.
    if (const auto left = timeForBytes()) {
        m_isSilenceCertain = false;
        m_overdueTimer.start(*left);
        return;
    }
    if (!std::exchange(m_isSilenceCertain, true)) {
        m_overdueTimer.start(milliseconds(0)); // what arrived while the event loop was busy is handled first
        return;
    }
    ++m_attempt;
    if (m_hooks.onOverdue) {
        m_hooks.onOverdue(m_attempt, std::chrono::floor<milliseconds>(suspendAwareNow() - m_readBeganAt), sinceBytes());
    }
    if (m_attempt == RepeatsUntilLost) {
        recordLost(StoreError::TimedOut);
    }
    if (m_store.closeIdleConnections) {
        m_store.closeIdleConnections(); // one that was opened before may be as silent as the read's
    }
    sendRead(milliseconds(0));
}

std::optional<milliseconds> KeyedFeed::sinceBytes() const
{
    const auto at = m_store.lastBytesAt ? m_store.lastBytesAt(m_options.topic) : std::nullopt;
    if (!at || *at < m_readBeganAt) {
        return std::nullopt;
    }
    return std::chrono::floor<milliseconds>(suspendAwareNow() - *at);
}

bool KeyedFeed::endRead(std::uint64_t read, int attempt, Instant sentAt, bool isAnswer)
{
    if (read != m_read || (!isAnswer && attempt != m_attempt)) {
        return false;
    }
    ++m_read;
    m_overdueTimer.stop();
    m_sentAt = sentAt;
    if (!isAnswer) {
        return true;
    }
    const milliseconds usual = m_options.budget.answerTime;
    m_answerTime = attempt < m_attempt ? std::min(m_answerTime * 2, usual * MaxSlowness) : std::max(m_answerTime / 2, usual);
    return true;
}

template<typename T>
std::function<void(StoreResult<T>)> KeyedFeed::onFirstAnswer(std::function<void(const StoreResult<T> &)> handle)
{
    return [this, read = m_read, attempt = m_attempt, sentAt = suspendAwareNow(), handle = std::move(handle)](const StoreResult<T> &result) {
        if (endRead(read, attempt, sentAt, static_cast<bool>(result))) {
            handle(result);
        }
    };
}

void KeyedFeed::readPage(const std::string &afterKey)
{
    beginRead(milliseconds(0), [this, afterKey](milliseconds /*wait*/) {
        m_store.readNewest(m_options.topic, afterKey, onFirstAnswer<NewestPage>([this](const StoreResult<NewestPage> &result) {
                               handlePage(result);
                           }));
    });
}

void KeyedFeed::handlePage(const StoreResult<NewestPage> &result)
{
    if (!result) {
        handleFailure(result.error());
        return;
    }
    recordAnswer(milliseconds(0));
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
        const bool isNew = it.offset >= m_nextOffset;
        m_snapshotNews += isNew ? 1 : 0;
        if (!m_droppedBeforeEra.contains(it.key) && !apply(it)) {
            m_hasUnusable = m_hasUnusable || isNew;
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
    const bool isCatchingUp = std::exchange(m_isCatchingUp, false);
    if (isCatchingUp && m_hasUnusable) {
        m_historyEnd = m_snapshotEnd; // a usable record before the unusable one is there only
        m_isRelayedHistory = false;
        readNext();
        return;
    }
    const BatchReport reported = reportSnapshot();
    if (isCatchingUp && m_hooks.onBatch) {
        m_hooks.onBatch(reported);
    }
    const auto known = m_presentKeys;
    for (const auto &[key, bytes] : known) {
        if (!m_snapshotKeys.contains(key)) {
            // The key was removed before the snapshot; a record at the end offset itself is newer.
            apply({*m_snapshotEnd - 1, key, std::nullopt});
        }
    }
    m_droppedBeforeEra.clear();
    m_nextOffset = *m_snapshotEnd;
    m_completeAt = m_snapshotAt;
    if (!std::exchange(m_isSynced, true) && m_hooks.onSynced) {
        m_hooks.onSynced();
    }
    if (isCatchingUp) {
        m_lastReadAt = suspendAwareNow(); // what is written meanwhile is read together
    }
    if (isCatchingUp && isSnapshotSmaller(reported)) {
        scheduleCatchUp();
        return;
    }
    readNext();
}

bool KeyedFeed::acceptEra(std::uint64_t era)
{
    if (era < m_era) {
        handleFailure(StoreError::Stale);
        return false;
    }
    if (m_hooks.onEra) {
        m_hooks.onEra(era);
    }
    const std::uint64_t before = std::exchange(m_era, era);
    if (before == era || before == 0) {
        return true;
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

void KeyedFeed::readNext()
{
    const auto sinceRead = std::chrono::floor<milliseconds>(suspendAwareNow() - m_lastReadAt);
    if (sinceRead < currentReadInterval()) {
        m_readTimer.start(currentReadInterval() - sinceRead);
        return;
    }
    m_lastReadAt = suspendAwareNow();
    // A read that follows a failed one doesn't wait, so its reader learns early that the store is back.
    beginRead(m_isStoreLost ? milliseconds(0) : currentWait(), [this](milliseconds wait) {
        const RecordQuery query = {m_options.topic, m_nextOffset, wait, m_isNextTooLarge ? 0 : maxAnswerBytes(), m_historyEnd.has_value()};
        m_store.read(query, onFirstAnswer<RecordBatch>([this](const StoreResult<RecordBatch> &result) {
                         handleBatch(result);
                     }));
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
    const RecordBatch &batch = result.value();
    const BatchReport reported = report(batch);
    if (m_hooks.onBatch) {
        m_hooks.onBatch(reported);
    }
    m_previousCompleteAt = m_completeAt;
    const bool areUsable = applyNewest(batch.records);
    if (!areUsable && batch.isCompacted) {
        m_historyEnd = batch.nextOffset; // the relay may have left out a usable record before the unusable one
        m_isRelayedHistory = true;
        readNext();
        return;
    }
    m_nextOffset = std::max(m_nextOffset, batch.nextOffset);
    if (m_historyEnd && m_nextOffset >= *m_historyEnd) {
        m_historyEnd.reset();
    }
    m_isNextTooLarge = batch.isPartial() && batch.records.empty();
    if (batch.isPartial()) {
        if (m_historyEnd) {
            readNext();
        } else {
            catchUp();
        }
        return;
    }
    m_completeAt = std::max(m_completeAt.value_or(m_answerGivenAt), m_answerGivenAt);
    if (isSnapshotSmaller(reported)) {
        scheduleCatchUp();
        return;
    }
    readNext();
}

void KeyedFeed::recordAnswer(milliseconds age)
{
    const Instant now = suspendAwareNow() - age;
    if (m_lastAnswerAt && now - *m_lastAnswerAt > m_options.budget.refreshInterval + m_options.outageThreshold) {
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

void KeyedFeed::recordLost(StoreError error)
{
    if (!std::exchange(m_isStoreLost, true) && m_hooks.onStoreLost) {
        m_hooks.onStoreLost(error);
    }
}

void KeyedFeed::handleFailure(StoreError error)
{
    recordLost(error);
    // A relay may answer where the store itself doesn't, so the next read may go there again.
    m_isCatchingUp = false;
    if (m_historyEnd && m_isRelayedHistory) {
        m_nextOffset = std::max(m_nextOffset, *m_historyEnd);
    }
    m_historyEnd.reset();
    if (error != StoreError::Refused && m_store.closeIdleConnections) {
        m_store.closeIdleConnections();
    }
    m_readTimer.start(m_retryDelay);
    m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
}

} // namespace auburndrum::gateway
