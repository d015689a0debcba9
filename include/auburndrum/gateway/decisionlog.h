#pragma once

#include "auburndrum/base/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace auburndrum::gateway {

/// Importance of a line when the rate limit drops some.
enum class LinePriority {
    Routine, ///< a successful request
    Notable, ///< a refusal, a failure or a change of the process's state
};

/// Options of a DecisionLog.
struct DecisionLogOptions
{
    std::string vm; ///< this VM's name, in every line
    double routinePerSecond = 100; ///< several times the usual request rate of one entry VM
    double notablePerSecond = 200;
    std::size_t queueLines = 2048; ///< lines queued for a slow reader of standard output; the oldest are dropped
    std::function<void(std::string_view)> write; ///< receives complete lines; standard output when empty
};

/// @brief Writes one JSON object per line for each decision; rate-limited, and never blocks on its reader.
///
/// docs/LOGGING.md names the fields.
class DecisionLog
{
public:
    explicit DecisionLog(DecisionLogOptions options);
    ~DecisionLog();

    /// Writes a line with the event's name, the time and the VM put in front of `fields`; false when it was dropped.
    bool write(LinePriority priority, std::string_view event, const nlohmann::ordered_json &fields, Instant now = monotonicNow());
    std::uint64_t dropped() const
    {
        return m_dropped;
    }
    /// Writes queued lines out; for the end of the process.
    void flush();

private:
    struct TokenBucket
    {
        double perSecond = 0;
        double tokens = 0;
        Instant refilledAt{};
    };

    static bool tryAcquire(TokenBucket &allowance, Instant now);
    void emit(std::string_view event, const nlohmann::ordered_json &fields);

    DecisionLogOptions m_options;
    std::shared_ptr<spdlog::logger> m_logger;
    TokenBucket m_routine;
    TokenBucket m_notable;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace auburndrum::gateway
