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

/// Options of a TopicCache.
struct TopicCacheOptions
{
    std::size_t maxRecords = 2000; ///< records of a topic; more than change between two polls of a reader
    std::size_t maxBytes = 256 * 1024; ///< total size of a topic's records
    /// Size of the records in one response; a reader with more to read uses the store itself, whose link has more bandwidth than an entry VM's.
    std::size_t maxAnswerBytes = 64 * 1024;
};

/// @brief Caches the newest records that this entry VM read from the store, for the VMs that poll it. Not thread-safe.
class TopicCache
{
public:
    explicit TopicCache(const TopicCacheOptions &options);

    /// Adds the records that the store returned at `now` for a read from offset `from`.
    void addBatch(const std::string &topic, std::uint64_t from, const RecordBatch &batch, Instant now);
    /// Records from offset `from` on, with their age; nothing when they are not all cached or too large for one response.
    std::optional<RecordBatch> readFrom(const std::string &topic, std::uint64_t from, Instant now) const;

private:
    struct Topic
    {
        std::deque<StoreRecord> records;
        std::uint64_t firstOffset = 0; ///< all records that are still in the topic from this offset on are in `records`
        std::uint64_t nextOffset = 0;
        std::uint64_t era = 0;
        std::size_t bytes = 0;
        Instant readAt{};
    };

    static std::size_t sizeOf(const StoreRecord &record);
    void evictOldest(Topic &topic) const;

    TopicCacheOptions m_options;
    std::map<std::string, Topic> m_topics;
};

} // namespace auburndrum::gateway
