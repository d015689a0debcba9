#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/platform/platformerror.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburndrum::platform {

/// One record as the log keeps it.
struct StoredRecord
{
    std::uint64_t offset = 0;
    WallTime at; ///< the log's own time
    std::string value;
};

/// How an append ended.
struct AppendResult
{
    PlatformError error = PlatformError::None;
    std::uint64_t offset = 0; ///< set when there is no error
    std::chrono::milliseconds retryAfter{0}; ///< set when refused
};

/// What a read gave.
struct ReadResult
{
    PlatformError error = PlatformError::None;
    std::uint64_t first = 0; ///< lowest offset that the log keeps
    std::uint64_t next = 0; ///< offset that the next append gets
    std::vector<StoredRecord> records;
};

/// Options of a LogClient.
struct LogClientOptions
{
    net::Address platform;
    std::chrono::milliseconds appendTimeout{2000};
    std::chrono::milliseconds readWait{10000}; ///< long poll
    std::chrono::milliseconds readSlack{2000}; ///< added to the long poll before the read counts as failed
    std::uint32_t readLimit = 1000; ///< records in one read
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
