#pragma once

#include "auburndrum/base/errors.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::gateway {

/// Why a call to the platform's store brought no result.
enum class StoreError {
    Unreachable, ///< no connection, or it broke: a write may still have been made
    TimedOut, ///< no answer: a write may still be made
    Refused, ///< the store turned the call away; nothing was done
    Stale, ///< the answer is older than what was read before
    Conflict, ///< the condition of a write did not hold
    Malformed, ///< the answer can't be read
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

/// Records from some offset on.
struct RecordBatch
{
    std::vector<StoreRecord> records;
    std::uint64_t nextOffset = 0; ///< the first offset that was not read
    bool hasGap = false; ///< records asked for are gone; `nextOffset` is the first that is still there
    std::chrono::milliseconds age{0}; ///< the store had no further records so long ago; 0 when it was asked itself
};

/// A page of the newest record of each key.
struct NewestPage
{
    std::vector<StoreRecord> records;
    std::uint64_t endOffset = 0;
    bool hasMore = false;
};

/// What the gateway asks of the platform's store. Each call answers exactly once, later.
struct RecordStore
{
    std::function<void(const std::string &topic, const std::string &afterKey, std::function<void(StoreResult<NewestPage>)>)> readNewest;
    /// Answers as soon as a record is there, or with none after `wait`.
    std::function<void(const std::string &topic, std::uint64_t from, std::chrono::milliseconds wait, std::function<void(StoreResult<RecordBatch>)>)> read;
    /// Appends one record; answers with its offset.
    std::function<void(const std::string &topic, const QByteArray &record, std::function<void(StoreResult<std::uint64_t>)>)> append;
    /// Sets the value of a key; answers with the record's offset.
    std::function<void(const std::string &topic, const std::string &key, const QByteArray &value, std::function<void(StoreResult<std::uint64_t>)>)> put;
};

} // namespace auburndrum::gateway
