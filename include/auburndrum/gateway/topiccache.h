#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/gateway/recordstore.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburndrum::gateway {

/// Options of a TopicCache.
struct TopicCacheOptions
{
    std::size_t maxRecords = 2000; ///< records of a topic; more than change between two polls of a reader
    std::size_t maxBytes = 256 * 1024; ///< total size of a topic's records
    /// Size of the records in one response; a reader with more to read uses the store itself, whose link has more bandwidth than an entry VM's.
    std::size_t maxAnswerBytes = 64 * 1024;
    /// Digest of a record's content without what changes with each heartbeat; nothing when it can't be read, and the record is always passed on. A record
    /// whose digest is that of the key's last one is a heartbeat and isn't passed on. Empty: all records are passed on.
    std::function<std::optional<std::uint64_t>(const std::string &topic, const StoreRecord &record)> digestOf;
    /// A heartbeat is passed on all the same this long after the key's last record, for readers that dropped the key meanwhile.
    std::chrono::milliseconds heartbeatInterval{10000};
    /// So long after a gap, a failed read or a new era all heartbeats are passed on: entries that lapsed meanwhile are written again without a change.
    std::chrono::milliseconds settleTime{5000};
};

/// @brief Caches the newest record of each key that this entry VM read from the store, for the VMs that poll it. Not thread-safe.
class TopicCache
{
public:
    explicit TopicCache(const TopicCacheOptions &options);

    /// Adds the records that the store returned at `now` for a read from offset `from`.
    void addBatch(const std::string &topic, std::uint64_t from, const RecordBatch &batch, Instant now);
    /// Adds the newest record of each key, as the store returned it in pages from `now` on. `end`: of the topic, as the first page told it.
    void addSnapshot(const std::string &topic, std::uint64_t end, std::uint64_t era, const std::vector<StoreRecord> &records, Instant now);
    /// The newest record of each key that has one from offset `from` on, with their age; nothing when they are not all cached or too large for one response.
    std::optional<RecordBatch> readFrom(const std::string &topic, std::uint64_t from, Instant now) const;
    /// A read of the topic failed at `now`.
    void recordFailure(const std::string &topic, Instant now);

private:
    /// What the last record of a key that was passed on said.
    struct PassedOn
    {
        std::uint64_t digest = 0;
        Instant at{};
    };

    using Records = std::multimap<std::uint64_t, StoreRecord>; ///< by offset

    struct Topic
    {
        Records records;
        std::map<std::string, Records::iterator, std::less<>> newest; ///< by key; each of `records` is here
        /// Keys that have a value; nothing until a snapshot told all of them.
        std::optional<std::set<std::string>> presentKeys;
        std::uint64_t firstOffset = 0; ///< the newest record of each key that has one from this offset on is in `records`
        std::uint64_t nextOffset = 0;
        std::uint64_t era = 0;
        std::size_t bytes = 0;
        Instant readAt{};
        std::map<std::string, PassedOn> passedOn; ///< by key
    };

    static std::size_t sizeOf(const StoreRecord &record);
    /// Whether a record says nothing new. Remembers what it says.
    bool isHeartbeat(const std::string &name, Topic &topic, const StoreRecord &record, Instant now) const;
    void evictOldest(Topic &topic) const;
    /// Puts a record in place of the key's last one.
    void put(const std::string &name, Topic &topic, const StoreRecord &record, Instant now) const;
    /// Puts the records of a snapshot that are newer than the last read.
    void addMissed(const std::string &name, Topic &topic, std::uint64_t end, const std::vector<StoreRecord> &records, Instant now) const;
    static void drop(Topic &topic, Records::iterator record);

    TopicCacheOptions m_options;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, Instant> m_settledAt; ///< by topic; heartbeats are passed on until then
};

} // namespace auburndrum::gateway
