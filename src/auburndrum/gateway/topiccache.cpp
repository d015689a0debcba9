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

void TopicCache::drop(Topic &topic, Records::iterator record)
{
    topic.bytes -= sizeOf(record->second);
    if (!record->second.key.empty()) {
        topic.newest.erase(record->second.key);
    }
    topic.records.erase(record);
}

void TopicCache::put(const std::string &name, Topic &topic, const StoreRecord &record, Instant now) const
{
    if (topic.presentKeys && record.value) {
        topic.presentKeys->insert(record.key);
    } else if (topic.presentKeys) {
        topic.presentKeys->erase(record.key);
    }
    if (isHeartbeat(name, topic, record, now)) {
        return;
    }
    const auto superseded = topic.newest.find(record.key);
    if (superseded != topic.newest.end()) {
        if (superseded->second->first > record.offset) {
            return;
        }
        drop(topic, superseded->second);
    }
    const auto added = topic.records.emplace(record.offset, record);
    topic.bytes += sizeOf(record);
    if (!record.key.empty()) { // in a topic without keys each record counts
        topic.newest.emplace(record.key, added);
    }
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
        if (record.offset < known.nextOffset) {
            continue;
        }
        put(topic, known, record, now);
        known.nextOffset = record.offset + 1;
    }
    known.nextOffset = std::max(known.nextOffset, batch.nextOffset);
    if (!batch.isPartial()) {
        known.readAt = now;
    }
    evictOldest(known);
}

void TopicCache::addSnapshot(const std::string &topic, std::uint64_t end, std::uint64_t era, const std::vector<StoreRecord> &records, Instant now)
{
    const auto [it, isNew] = m_topics.try_emplace(topic);
    Topic &known = it->second;
    if (!isNew && (era < known.era || (era == known.era && end < known.nextOffset))) {
        return; // given before what was read since
    }
    std::set<std::string> present;
    for (const StoreRecord &record : records) {
        present.insert(record.key);
    }
    if (isNew || era > known.era || !known.presentKeys) {
        if (!isNew) {
            recordFailure(topic, now);
        }
        known = Topic{};
        known.era = era;
        known.firstOffset = end;
    } else {
        addMissed(topic, known, end, records, now);
        for (const std::string &key : std::set<std::string>(*known.presentKeys)) {
            if (!present.contains(key)) {
                put(topic, known, {end - 1, key, std::nullopt}, now);
            }
        }
    }
    known.presentKeys = std::move(present);
    known.nextOffset = end;
    const bool isWhole = std::none_of(records.begin(), records.end(), [end](const StoreRecord &record) {
        return record.offset >= end; // in place of one before the end, which the cache lacks until the next read
    });
    if (isWhole) {
        known.readAt = now;
    }
    evictOldest(known);
}

void TopicCache::addMissed(const std::string &name, Topic &topic, std::uint64_t end, const std::vector<StoreRecord> &records, Instant now) const
{
    for (const StoreRecord &it : records) {
        // A record at the end or behind it was written between two pages, and is read again from there.
        if (it.offset >= topic.nextOffset && it.offset < end) {
            put(name, topic, it, now);
        }
    }
}

void TopicCache::evictOldest(Topic &topic) const
{
    while (!topic.records.empty() && (topic.records.size() > m_options.maxRecords || topic.bytes > m_options.maxBytes)) {
        const auto oldest = topic.records.begin();
        topic.firstOffset = oldest->first + 1;
        drop(topic, oldest);
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
    batch.isCompacted = true;
    batch.nextOffset = std::max(from, known.nextOffset);
    batch.age = std::chrono::ceil<std::chrono::milliseconds>(now - known.readAt);
    std::size_t bytes = 0;
    for (auto record = known.records.lower_bound(from); record != known.records.end(); ++record) {
        bytes += sizeOf(record->second);
        if (bytes > m_options.maxAnswerBytes) {
            return std::nullopt;
        }
        batch.records.push_back(record->second);
    }
    return batch;
}

} // namespace auburndrum::gateway
