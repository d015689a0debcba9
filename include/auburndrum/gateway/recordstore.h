#pragma once

#include "auburndrum/base/errors.h"
#include "auburndrum/base/time.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::gateway {

inline std::string_view toView(const QByteArray &bytes)
{
    return {bytes.constData(), static_cast<std::size_t>(bytes.size())};
}

/// Why a call to the platform's store returned no result.
enum class StoreError {
    Unreachable, ///< no connection, or it broke: a write may still have been made
    TimedOut, ///< no response: a write may still be made
    Refused, ///< the store refused the call; nothing was done
    Stale, ///< the response is older than what was read before
    Conflict, ///< the condition of a write did not hold
    Malformed, ///< the response can't be parsed
};

const char *toText(StoreError error);

template<typename T>
using StoreResult = Result<T, StoreError>;

/// One record of a topic.
struct StoreRecord
{
    std::uint64_t offset = 0;
    std::string key; ///< empty in topics without keys
    std::optional<QByteArray> value; ///< nothing when the key was dropped
};

/// A read of a topic's records.
struct RecordQuery
{
    std::string topic;
    std::uint64_t from = 0; ///< first offset to read
    std::chrono::milliseconds wait{0}; ///< for a record, where there is none yet
    std::size_t maxBytes = 0; ///< of the answer, at least one record where there is one; 0: as many as the store gives
    bool everyRecord = false; ///< superseded ones too, which only the store itself has
};

/// Records from some offset on.
struct RecordBatch
{
    std::vector<StoreRecord> records;
    std::uint64_t nextOffset = 0; ///< the first offset that was not read
    std::optional<std::uint64_t> endOffset; ///< the topic's end at the time of the response; nothing where a relay read the topic to its end
    bool hasGap = false; ///< requested records were dropped; `nextOffset` is the first that is still there
    bool isCompacted = false; ///< of each key only the newest record, from a relay
    std::uint64_t era = 0; ///< rises each time that the store returns from an older copy, after which offsets are given out again; 0 when unknown
    std::chrono::milliseconds age{0}; ///< time since the store had no further records; 0 for a response from the store itself

    /// Whether the response leaves out records that the store had.
    bool isPartial() const
    {
        return endOffset.value_or(nextOffset) > nextOffset;
    }
};

/// A page of the newest record of each key.
struct NewestPage
{
    std::vector<StoreRecord> records;
    std::uint64_t endOffset = 0;
    std::uint64_t era = 0; ///< as in RecordBatch
    bool hasMore = false;
};

/// A write to the end of a topic: all of its records, in this order, or none.
struct RecordAppend
{
    std::string topic;
    std::vector<QByteArray> records;
    std::optional<std::uint64_t> at; ///< StoreError::Conflict unless the topic ends at this offset
};

/// Where the store wrote the records of a RecordAppend.
struct AppendedRecords
{
    std::uint64_t offset = 0; ///< of the first one
    std::uint64_t era = 0; ///< as in RecordBatch
};

/// Calls of the gateway to the platform's store. Each call invokes its callback exactly once, asynchronously.
struct RecordStore
{
    std::function<void(const std::string &topic, const std::string &afterKey, std::function<void(StoreResult<NewestPage>)>)> readNewest;
    /// Returns as soon as a record is there, or without records after the query's wait.
    std::function<void(const RecordQuery &, std::function<void(StoreResult<RecordBatch>)>)> read;
    /// Optional. When the last bytes of an answer to a read of the topic arrived, suspend-aware; nothing before the first ones.
    std::function<std::optional<Instant>(const std::string &topic)> lastBytesAt;
    /// Optional. The calls that follow open new connections, as the idle ones may have gone silent.
    std::function<void()> closeIdleConnections;
    std::function<void(const RecordAppend &, std::function<void(StoreResult<AppendedRecords>)>)> append;
    /// Sets the value of a key; returns the record's offset.
    std::function<void(const std::string &topic, const std::string &key, const QByteArray &value, std::function<void(StoreResult<std::uint64_t>)>)> put;
};

} // namespace auburndrum::gateway
