#pragma once

#include "auburndrum/base/settings.h"

#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>

namespace auburndrum {

/// Level, format and destination of this process's log.
struct LogOptions
{
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    std::function<void(std::string_view line)> write; ///< receives complete lines without line ending; empty: standard error
};

/// Sets up the log of this process. Before the first call, lines of level Info and above go to standard error as text.
/// Must not be called while other threads log.
void startLog(const LogOptions &options);

/// Changes the level at run time.
void setLogLevel(LogLevel level);

/// Returns the current log level.
LogLevel logLevel();

/// The name of a level, as in the setting log_level.
std::string_view toText(LogLevel level);

/// The level with this name, nothing when unknown.
std::optional<LogLevel> parseLogLevel(std::string_view text);

/// Logger of one part of the program. Every line starts with the part's name.
///
///     const Log log("caller");
///     log.info("refused: {}", reason);                 // caller: refused: queue full
///     log.forRequest(id).warning("stream cut");        // caller: [ID] stream cut
///
/// Messages hold no prompt text, keys or secrets. Repeats of one format string are rate limited.
class Log
{
public:
    explicit Log(std::string part);

    /// Returns a logger of the same part that puts the request id into every line.
    Log forRequest(std::string_view requestId) const;

    template<class... Args>
    void error(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Error, format, fmt::make_format_args(args...));
    }

    template<class... Args>
    void warning(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Warning, format, fmt::make_format_args(args...));
    }

    template<class... Args>
    void info(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Info, format, fmt::make_format_args(args...));
    }

    template<class... Args>
    void debug(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Debug, format, fmt::make_format_args(args...));
    }

private:
    void write(LogLevel level, fmt::string_view format, fmt::format_args args) const;

    std::string m_part;
    std::string m_requestId;
};

} // namespace auburndrum
