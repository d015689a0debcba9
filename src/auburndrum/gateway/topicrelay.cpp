#include "auburndrum/gateway/topicrelay.h"

#include <algorithm>

namespace auburndrum::gateway {

TopicRelay::TopicRelay(const TopicRelayOptions &options)
    : m_options(options)
{
}

std::size_t TopicRelay::sizeOf(const StoreRecord &record)
{
    return record.key.size() + (record.value ? static_cast<std::size_t>(record.value->size()) : 0);
}

void TopicRelay::take(const std::string &topic, std::uint64_t from, const RecordBatch &batch, Instant now)
{
    const auto [it, isNew] = m_topics.try_emplace(topic);
    Topic &known = it->second;
    if (batch.hasGap) {
        m_topics.erase(it); // the reader starts over with the newest of each key
        return;
    }
    if (isNew || from > known.next) {
        known = Topic{};
        known.first = from;
        known.next = from;
    }
    for (const StoreRecord &record : batch.records) {
        if (record.offset < known.next) {
            continue;
        }
        known.records.push_back(record);
        known.bytes += sizeOf(record);
        known.next = record.offset + 1;
    }
    known.next = std::max(known.next, batch.nextOffset);
    known.answeredAt = now;
    shrink(known);
}

void TopicRelay::shrink(Topic &topic) const
{
    while (!topic.records.empty() && (topic.records.size() > m_options.maxRecords || topic.bytes > m_options.maxBytes)) {
        topic.bytes -= sizeOf(topic.records.front());
        topic.first = topic.records.front().offset + 1;
        topic.records.pop_front();
    }
}

std::optional<RecordBatch> TopicRelay::since(const std::string &topic, std::uint64_t from, Instant now) const
{
    const auto it = m_topics.find(topic);
    if (it == m_topics.end() || from < it->second.first) {
        return std::nullopt;
    }
    const Topic &known = it->second;
    RecordBatch batch;
    batch.nextOffset = std::max(from, known.next);
    batch.age = std::chrono::ceil<std::chrono::milliseconds>(now - known.answeredAt);
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
