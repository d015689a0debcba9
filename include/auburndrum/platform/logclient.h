#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/platform/platformerror.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburndrum::platform {

/// One record as stored in the log.
struct StoredRecord
{
    std::uint64_t offset = 0;
    WallTime at; ///< time at which the log stored the record, by the log's clock
    std::string value;
};

/// Result of an append.
struct AppendResult
{
    PlatformError error = PlatformError::None;
    std::uint64_t offset = 0; ///< set when there is no error
    std::chrono::milliseconds retryAfter{0}; ///< time to wait before the next append; set when refused
};

/// Result of a read.
struct ReadResult
{
    PlatformError error = PlatformError::None;
    std::uint64_t first = 0; ///< lowest offset that is still in the log
    std::uint64_t next = 0; ///< offset that the next append gets
    std::vector<StoredRecord> records;
};

/// Options of a LogClient.
struct LogClientOptions
{
    net::Address platform;
    std::chrono::milliseconds appendTimeout{2000};
    std::chrono::milliseconds readWait{10000}; ///< longest time that a long poll waits for a record
    std::chrono::milliseconds readTimeoutMargin{2000}; ///< the read times out after the long poll's wait plus this
    std::uint32_t readLimit = 1000; ///< maximum number of records in one read
};

/// Client of the platform's append-only log.
class LogClient
{
public:
    LogClient(net::HttpClient &http, LogClientOptions options);

    /// Appends one record.
    void append(const std::string &value, std::function<void(const AppendResult &)> onDone);
    /// Reads records from `from` on; waits for one when there is none, unless `wait` is zero.
    net::HttpCallHandle read(std::uint64_t from, std::chrono::milliseconds wait, std::function<void(const ReadResult &)> onDone);

    const LogClientOptions &options() const
    {
        return m_options;
    }

private:
    net::HttpClient &m_http;
    LogClientOptions m_options;
};

} // namespace auburndrum::platform
