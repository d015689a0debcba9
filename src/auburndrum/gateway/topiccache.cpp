#include "auburndrum/gateway/topiccache.h"

#include <algorithm>

namespace auburndrum::gateway {

TopicCache::TopicCache(const TopicCacheOptions &options)
    : m_options(options)
{
}

bool TopicCache::isHeartbeat(const std::string &name, Topic &topic, const StoreRecord &record, Instant now) const
{
    if (!m_options.digestOf) {
        return false;
    }
    const auto digest = record.value ? m_options.digestOf(name, record) : std::nullopt;
    if (!digest) {
        topic.passedOn.erase(record.key);
        return false;
    }
    if (topic.passedOn.size() >= m_options.maxRecords) {
        topic.passedOn.clear(); // at worst a heartbeat of each key is passed on
    }
    const auto [it, isNew] = topic.passedOn.try_emplace(record.key, PassedOn{*digest, now});
    const auto settledAt = m_settledAt.find(name);
    const bool isSettled = settledAt == m_settledAt.end() || now >= settledAt->second;
    if (!isNew && isSettled && it->second.digest == *digest && now - it->second.at < m_options.heartbeatInterval) {
        return true;
    }
    it->second = {*digest, now};
    return false;
}

void TopicCache::recordFailure(const std::string &topic, Instant now)
{
    m_settledAt[topic] = now + m_options.settleTime;
}

std::size_t TopicCache::sizeOf(const StoreRecord &record)
{
    return record.key.size() + (record.value ? static_cast<std::size_t>(record.value->size()) : 0);
}

void TopicCache::addBatch(const std::string &topic, std::uint64_t from, const RecordBatch &batch, Instant now)
{
    const auto [it, isNew] = m_topics.try_emplace(topic);
    Topic &known = it->second;
    if (batch.hasGap) {
        m_topics.erase(it); // the reader starts over with the newest record of each key
        recordFailure(topic, now);
        return;
    }
    if (!isNew && batch.era < known.era) {
        return; // given before the store returned from an older copy
    }
    if (isNew || from > known.nextOffset || batch.era > known.era) {
        if (!isNew) {
            recordFailure(topic, now);
        }
        known = Topic{};
        known.era = batch.era;
        known.firstOffset = from;
        known.nextOffset = from;
    }
    for (const StoreRecord &record : batch.records) {
        if (record.offset < known.nextOffset || isHeartbeat(topic, known, record, now)) {
            continue;
        }
        known.records.push_back(record);
        known.bytes += sizeOf(record);
        known.nextOffset = record.offset + 1;
    }
    known.nextOffset = std::max(known.nextOffset, batch.nextOffset);
    known.readAt = now;
    evictOldest(known);
}

void TopicCache::evictOldest(Topic &topic) const
{
    while (!topic.records.empty() && (topic.records.size() > m_options.maxRecords || topic.bytes > m_options.maxBytes)) {
        topic.bytes -= sizeOf(topic.records.front());
        topic.firstOffset = topic.records.front().offset + 1;
        topic.records.pop_front();
    }
}

std::optional<RecordBatch> TopicCache::readFrom(const std::string &topic, std::uint64_t from, Instant now) const
{
    const auto it = m_topics.find(topic);
    if (it == m_topics.end() || from < it->second.firstOffset) {
        return std::nullopt;
    }
    const Topic &known = it->second;
    RecordBatch batch;
    batch.era = known.era;
    batch.nextOffset = std::max(from, known.nextOffset);
    batch.age = std::chrono::ceil<std::chrono::milliseconds>(now - known.readAt);
    std::size_t bytes = 0;
    const auto begin = std::lower_bound(known.records.begin(), known.records.end(), from, [](const StoreRecord &record, std::uint64_t offset) {
        return record.offset < offset;
    });
    for (auto record = begin; record != known.records.end(); ++record) {
        bytes += sizeOf(*record);
        if (bytes > m_options.maxAnswerBytes) {
            return std::nullopt;
        }
        batch.records.push_back(*record);
    }
    return batch;
}

} // namespace auburndrum::gateway
