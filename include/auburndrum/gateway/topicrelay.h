#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/gateway/recordstore.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace auburndrum::gateway {

/// Options of a TopicRelay.
struct TopicRelayOptions
{
    std::size_t maxRecords = 2000; ///< of a topic; more than change in the time in which a reader asks again
    std::size_t maxBytes = 256 * 1024; ///< of a topic's records
    /// Values in one answer; a reader with more to read asks the store itself, whose link is wider than an entry VM's.
    std::size_t maxAnswerBytes = 64 * 1024;
};

/// @brief The newest records that this entry VM read from the store, for the VMs that ask it. Not thread-safe.
class TopicRelay
{
public:
    explicit TopicRelay(const TopicRelayOptions &options);

    /// The store answered a read from offset `from` at `now`.
    void take(const std::string &topic, std::uint64_t from, const RecordBatch &batch, Instant now);
    /// Records from offset `from` on, with their age; nothing when this VM can't tell.
    std::optional<RecordBatch> since(const std::string &topic, std::uint64_t from, Instant now) const;

private:
    struct Topic
    {
        std::deque<StoreRecord> records;
        std::uint64_t first = 0; ///< all records that are still in the topic from this offset on are in `records`
        std::uint64_t next = 0;
        std::size_t bytes = 0;
        Instant answeredAt{};
    };

    static std::size_t sizeOf(const StoreRecord &record);
    void shrink(Topic &topic) const;

    TopicRelayOptions m_options;
    std::map<std::string, Topic> m_topics;
};

} // namespace auburndrum::gateway
