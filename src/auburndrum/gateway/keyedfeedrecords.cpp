#include "auburndrum/gateway/keyedfeed.h"

#include <algorithm>

// Which of the records that a feed read are reported, and what reading them cost.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int LinkShare = 4; // an answer gets a quarter of what the link carries in its time; callers and other reads need the rest
constexpr std::size_t MinAnswerBytes = 64 * 1024;

} // namespace

BatchReport KeyedFeed::report(const RecordBatch &batch) const
{
    BatchReport it = {.from = m_nextOffset,
                      .next = batch.nextOffset,
                      .end = batch.endOffset,
                      .records = batch.records.size(),
                      .duration = std::chrono::floor<milliseconds>(suspendAwareNow() - m_readBeganAt)};
    std::map<std::string_view, std::size_t> newestBytes;
    for (const StoreRecord &record : batch.records) {
        const std::size_t bytes = record.value ? static_cast<std::size_t>(record.value->size()) : 0;
        const auto [known, isNew] = newestBytes.try_emplace(record.key, bytes);
        if (isNew) {
            continue;
        }
        ++it.superseded;
        it.supersededBytes += std::exchange(known->second, bytes);
    }
    return it;
}

BatchReport KeyedFeed::reportSnapshot() const
{
    std::size_t largest = 0;
    for (const auto &[key, size] : m_presentKeys) {
        largest = std::max(largest, size);
    }
    const std::uint64_t skipped = *m_snapshotEnd - std::min(*m_snapshotEnd, m_nextOffset + m_snapshotNews);
    return {.from = m_nextOffset,
            .next = *m_snapshotEnd,
            .records = m_snapshotNews,
            .superseded = skipped,
            .supersededBytes = skipped * largest,
            .duration = std::chrono::floor<milliseconds>(suspendAwareNow() - m_readBeganAt)};
}

bool KeyedFeed::isSnapshotSmaller(const BatchReport &report) const
{
    std::size_t bytes = 0;
    for (const auto &[key, size] : m_presentKeys) {
        bytes += key.size() + size;
    }
    return report.supersededBytes > bytes;
}

std::size_t KeyedFeed::maxAnswerBytes() const
{
    if (m_options.linkMegabits <= 0) {
        return 0;
    }
    const double seconds = std::chrono::duration<double>(m_options.budget.answerTime).count();
    return std::max(MinAnswerBytes, static_cast<std::size_t>(m_options.linkMegabits * 1e6 / 8 * seconds / LinkShare));
}

bool KeyedFeed::applyNewest(const std::vector<StoreRecord> &records)
{
    std::map<std::string_view, std::size_t> newest;
    for (std::size_t n = 0; n < records.size(); ++n) {
        newest[records[n].key] = n;
    }
    bool areUsable = true;
    for (std::size_t n = 0; n < records.size(); ++n) {
        if (newest[records[n].key] != n) {
            continue;
        }
        bool isUsable = apply(records[n]);
        for (std::size_t before = n; !isUsable && before-- > 0;) {
            isUsable = records[before].key == records[n].key && apply(records[before]);
        }
        areUsable = areUsable && isUsable;
    }
    return areUsable;
}

bool KeyedFeed::apply(const StoreRecord &record)
{
    const auto known = m_offsets.find(record.key);
    if (known != m_offsets.end() && record.offset <= known->second) {
        return true;
    }
    if (!m_hooks.onChange(record.key, record.value, isAfterOutage())) {
        return false;
    }
    m_offsets[record.key] = record.offset;
    if (record.value) {
        m_presentKeys[record.key] = static_cast<std::size_t>(record.value->size());
    } else {
        m_presentKeys.erase(record.key);
    }
    return true;
}

milliseconds KeyedFeed::currentReadInterval() const
{
    const auto grown = std::min(m_options.intervalPerKey * static_cast<std::int64_t>(m_presentKeys.size()), m_options.maxInterval);
    return std::max(m_options.readInterval, grown);
}

milliseconds KeyedFeed::currentWait() const
{
    const milliseconds longest = m_options.longestRead ? m_options.longestRead() : m_options.budget.refreshInterval;
    const Instant due = m_completeAt.value_or(suspendAwareNow()) + longest;
    return std::clamp(std::chrono::floor<milliseconds>(due - suspendAwareNow()), milliseconds(0), longest);
}

bool KeyedFeed::isAfterOutage() const
{
    return m_regainedAt && suspendAwareNow() - *m_regainedAt < m_options.postOutageWindow;
}

} // namespace auburndrum::gateway
