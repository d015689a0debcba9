#include "auburndrum/gateway/relaylink.h"

#include "guarded.h"

#include <algorithm>

// How RelayLink reads topics, through the relay or directly.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

} // namespace

RecordStore RelayLink::relayedStore()
{
    RecordStore it = m_store;
    it.readNewest = [this](const std::string &topic, const std::string &afterKey, auto done) {
        readNewest(topic, afterKey, std::move(done));
    };
    it.read = [this](const RecordQuery &query, auto done) {
        read(query, std::move(done));
    };
    return it;
}

void RelayLink::readNewest(const std::string &topic, const std::string &afterKey, std::function<void(StoreResult<NewestPage>)> done)
{
    const auto handle = [this, topic, afterKey, sentAt = suspendAwareNow(), done = std::move(done)](const StoreResult<NewestPage> &page) {
        if (page) {
            handleEra(page.value().era);
            addPage(topic, afterKey, page.value(), m_pauses.earliestAnswerTime(sentAt));
        }
        done(page);
    };
    m_store.readNewest(topic, afterKey, guarded(this, handle));
}

void RelayLink::addPage(const std::string &topic, const std::string &afterKey, const NewestPage &page, Instant answeredAt)
{
    if (afterKey.empty()) {
        m_snapshots[topic] = {page, answeredAt};
    }
    const auto it = m_snapshots.find(topic);
    if (it == m_snapshots.end()) {
        return;
    }
    auto &[pages, firstAt] = it->second;
    if (!afterKey.empty()) {
        if (pages.era != page.era || pages.records.empty() || pages.records.back().key != afterKey) {
            m_snapshots.erase(it); // a late answer, or one that was given twice
            return;
        }
        pages.records.insert(pages.records.end(), page.records.begin(), page.records.end());
    }
    if (page.hasMore && !page.records.empty()) {
        return;
    }
    m_topicCache.addSnapshot(topic, pages.endOffset, pages.era, pages.records, firstAt);
    m_snapshots.erase(it);
}

void RelayLink::read(const RecordQuery &query, std::function<void(StoreResult<RecordBatch>)> done)
{
    if (m_relay.empty() || query.everyRecord || m_pendingReads.contains(query.topic)) {
        readDirectly(query, std::move(done));
        return;
    }
    // One poll earlier, so that the answer to the last poll comes by the end of the wait.
    m_pendingReads[query.topic] = {query, suspendAwareNow() + std::max(query.wait - m_options.budget.pollInterval, milliseconds(0)), std::move(done)};
}

milliseconds RelayLink::longestRead() const
{
    return needsRelay() && m_relay.empty() ? m_options.budget.relayReadTime : m_options.budget.refreshInterval;
}

milliseconds RelayLink::maxRelayedAge() const
{
    return m_options.budget.refreshInterval + m_options.budget.answerTime;
}

void RelayLink::setBudget(const ReadBudget &budget)
{
    m_options.budget = budget;
}

void RelayLink::readDirectly(const RecordQuery &query, std::function<void(StoreResult<RecordBatch>)> done)
{
    RecordQuery direct = query;
    if (needsRelay()) {
        direct.wait = std::min(query.wait, m_options.budget.relayReadTime);
    }
    if (m_failedTopics.contains(query.topic)) {
        direct.wait = milliseconds(0); // a lost read is noticed sooner, so its reader learns early that the store is back
    }
    m_store.read(direct, guarded(this, [this, query, sentAt = suspendAwareNow(), done = std::move(done)](const StoreResult<RecordBatch> &result) {
                     const LoopWork::Span span(m_state.work, LoopWork::Kind::StoreReads);
                     if (result) {
                         handleEra(result.value().era);
                         m_failedTopics.erase(query.topic);
                         m_topicCache.addBatch(query.topic, query.from, result.value(), m_pauses.earliestAnswerTime(sentAt));
                     } else {
                         m_failedTopics.insert(query.topic);
                         m_topicCache.recordFailure(query.topic, suspendAwareNow());
                     }
                     done(result);
                 }));
}

void RelayLink::readDirectly(const PendingRead &read)
{
    RecordQuery query = read.query;
    query.wait = std::max(std::chrono::floor<milliseconds>(read.deadline - suspendAwareNow()), milliseconds(0));
    readDirectly(query, read.done);
}

void RelayLink::handleEra(std::uint64_t era)
{
    const bool isNew = era > m_era;
    m_era = std::max(m_era, era);
    if (isNew && !m_options.directoryTopic.empty()) {
        registerSelf(); // the copy that the store returned from may lack this VM, also where the return came before the first response
    }
}

void RelayLink::readPendingDirectly()
{
    const auto pending = std::exchange(m_pendingReads, {});
    for (const auto &[topic, it] : pending) {
        readDirectly(it);
    }
}

} // namespace auburndrum::gateway
