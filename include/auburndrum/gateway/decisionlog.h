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

/// How much a line matters when not all can be written.
enum class LineWeight {
    Routine, ///< a request that went well
    Notable, ///< a refusal, a failure or a change of what the process believes
};

/// Options of a DecisionLog.
struct DecisionLogOptions
{
    std::string vm; ///< named in every line
    double routinePerSecond = 100; ///< a calm day's requests of one entry VM several times over
    double notablePerSecond = 200;
    std::size_t queueLines = 2048; ///< waiting for a slow reader of standard output; the oldest are dropped
    std::function<void(std::string_view)> write; ///< takes whole lines; standard output when empty
};

/// @brief Writes one JSON object a line for each decision; bounded in volume, and never waits for its reader.
///
/// docs/LOGGING.md names the fields.
class DecisionLog
{
public:
    explicit DecisionLog(DecisionLogOptions options);
    ~DecisionLog();

    /// Writes a line with the event's name, the time and the VM put in front of `fields`; false when it was dropped.
    bool write(LineWeight weight, std::string_view event, const nlohmann::ordered_json &fields, Instant now = monotonicNow());
    std::uint64_t dropped() const
    {
        return m_dropped;
    }
    /// Hands what waits to the operating system; for the end of the process.
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
