#pragma once

#include "auburndrum/base/time.h"

#include <boost/outcome.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace auburndrum::standins {

/// Limits of the log.
struct RecordLogOptions
{
    std::size_t retentionRecords = 100'000;
    std::chrono::milliseconds retentionTime{std::chrono::hours(24)};
    std::uint32_t appendsPerSecond = 400; ///< above it an append is refused
};

/// One kept record.
struct LogRecord
{
    std::uint64_t offset = 0;
    WallTime time;
    std::string value;
};

/// A run of records and the bounds of the log when they were read.
struct LogPage
{
    std::uint64_t first = 1; ///< lowest kept offset
    std::uint64_t next = 1; ///< offset of the next append
    std::vector<LogRecord> records;
};

/// Why the log refused a call.
enum class LogError {
    RateLimited,
    Gone, ///< the wanted offset is no longer kept
};

template<typename T>
using LogResult = boost::outcome_v2::result<T, LogError, boost::outcome_v2::policy::all_narrow>;

/// An append-only log in memory: offsets from 1, retention by count and age, an append rate limit.
class RecordLog
{
public:
    explicit RecordLog(const RecordLogOptions &options);

    /// Appends a record and returns its offset.
    LogResult<std::uint64_t> append(std::string value, Instant now, WallTime wall);

    /// Returns up to limit records from this offset on.
    LogResult<LogPage> read(std::uint64_t from, std::size_t limit, WallTime wall);

    /// Returns the bounds of the log, without records.
    LogPage bounds() const;

private:
    bool takeAppendToken(Instant now);
    void dropExpired(WallTime wall);

    RecordLogOptions m_options;
    std::deque<LogRecord> m_records;
    std::uint64_t m_next = 1;
    double m_tokens = 0;
    Instant m_refilledAt{};
};

} // namespace auburndrum::standins
