#include "auburndrum/base/log.h"

#include "auburndrum/base/repeatlimiter.h"
#include "auburndrum/base/time.h"

#include <nlohmann/json.hpp>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <memory>
#include <mutex>

namespace auburndrum {

namespace {

constexpr const char *TextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";
constexpr const char *JsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

struct Level
{
    LogLevel level;
    std::string_view text;
    spdlog::level::level_enum library;
};

constexpr std::array Levels{
    Level{LogLevel::Error, "error", spdlog::level::err},
    Level{LogLevel::Warning, "warning", spdlog::level::warn},
    Level{LogLevel::Info, "info", spdlog::level::info},
    Level{LogLevel::Debug, "debug", spdlog::level::debug},
};

spdlog::level::level_enum libraryLevel(LogLevel level)
{
    return Levels[static_cast<std::size_t>(level)].library;
}

/// Passes formatted lines to LogOptions::write.
class FunctionSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit FunctionSink(std::function<void(std::string_view)> write)
        : m_write(std::move(write))
    {
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override // NOLINT(readability-identifier-naming): named by spdlog
    {
        spdlog::memory_buf_t buf;
        base_sink::formatter_->format(message, buf);
        m_write(std::string_view(buf.data(), buf.size()));
    }

    void flush_() override // NOLINT(readability-identifier-naming): named by spdlog
    {
    }

private:
    std::function<void(std::string_view)> m_write;
};

std::unique_ptr<spdlog::logger> makeLogger(const LogOptions &options)
{
    spdlog::sink_ptr sink;
    std::string lineEnd;
    if (options.write) {
        sink = std::make_shared<FunctionSink>(options.write);
    } else {
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
        lineEnd = "\n";
    }
    auto logger = std::make_unique<spdlog::logger>("auburndrum", std::move(sink));
    const char *pattern = options.format == LogFormat::Json ? JsonPattern : TextPattern;
    logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(pattern, spdlog::pattern_time_type::utc, lineEnd));
    logger->set_level(libraryLevel(options.level));
    return logger;
}

struct LogState
{
    LogFormat format = LogFormat::Text;
    std::unique_ptr<spdlog::logger> logger = makeLogger({});
    std::unique_ptr<RepeatLimiter> limiter = std::make_unique<RepeatLimiter>();
};

LogState &logState()
{
    static LogState state;
    return state;
}

/// Replaces control characters, so that external text can't forge a log line.
void makePrintable(std::string &text)
{
    for (char &it : text) {
        if (static_cast<unsigned char>(it) < ' ') {
            it = ' ';
        }
    }
}

std::string textPayload(const std::string &part, const std::string &requestId, std::string message)
{
    makePrintable(message);
    if (requestId.empty()) {
        return fmt::format("{}: {}", part, message);
    }
    return fmt::format("{}: [{}] {}", part, requestId, message);
}

std::string jsonPayload(const std::string &part, const std::string &requestId, std::string message)
{
    nlohmann::ordered_json json;
    json["part"] = part;
    if (!requestId.empty()) {
        json["request"] = requestId;
    }
    json["message"] = std::move(message);
    const std::string object = json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    // JsonPattern already contains the braces.
    return object.substr(1, object.size() - 2);
}

} // namespace

void startLog(const LogOptions &options)
{
    LogState &state = logState();
    state.format = options.format;
    state.logger = makeLogger(options);
    state.limiter = std::make_unique<RepeatLimiter>();
}

void setLogLevel(LogLevel level)
{
    logState().logger->set_level(libraryLevel(level));
}

LogLevel logLevel()
{
    const auto library = logState().logger->level();
    for (const Level &it : Levels) {
        if (it.library == library) {
            return it.level;
        }
    }
    return LogLevel::Info;
}

std::string_view toText(LogLevel level)
{
    return Levels[static_cast<std::size_t>(level)].text;
}

std::optional<LogLevel> parseLogLevel(std::string_view text)
{
    for (const Level &it : Levels) {
        if (it.text == text) {
            return it.level;
        }
    }
    return std::nullopt;
}

Log::Log(std::string part)
    : m_part(std::move(part))
{
}

Log Log::forRequest(std::string_view requestId) const
{
    Log log(m_part);
    log.m_requestId = std::string(requestId);
    return log;
}

void Log::write(LogLevel level, fmt::string_view format, fmt::format_args args) const
{
    LogState &state = logState();
    if (!state.logger->should_log(libraryLevel(level))) {
        return;
    }
    const auto suppressed = state.limiter->admit(fmt::format("{}:{}", m_part, format), monotonicNow());
    if (!suppressed) {
        return;
    }
    std::string message = fmt::vformat(format, args);
    if (*suppressed > 0) {
        message += fmt::format(" ({} similar messages suppressed)", *suppressed);
    }
    const auto payload = state.format == LogFormat::Json ? jsonPayload : textPayload;
    state.logger->log(libraryLevel(level), payload(m_part, m_requestId, std::move(message)));
}

} // namespace auburndrum
