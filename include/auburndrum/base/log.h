#pragma once

#include "auburndrum/base/settings.h"

#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>

namespace auburndrum {

/// How this process logs.
struct LogOptions
{
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    std::function<void(std::string_view line)> write; ///< gets whole lines without their line end; standard error when empty
};

/// Sets up the log of this process. Before the first call everything from Info on goes to standard error as text.
/// Not to be called while other threads log.
void startLog(const LogOptions &options);

/// Changes the level at run time.
void setLogLevel(LogLevel level);

/// The level in force.
LogLevel logLevel();

/// The name of a level, as in the setting log_level.
std::string_view toText(LogLevel level);

/// The level with this name, nothing when unknown.
std::optional<LogLevel> parseLogLevel(std::string_view text);

/// Log of one part of the program. Every line starts with the part's name.
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

    /// The same part, with the request id in every line.
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
