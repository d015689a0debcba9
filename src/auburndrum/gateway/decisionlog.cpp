#include "auburndrum/gateway/decisionlog.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace auburndrum::gateway {

DecisionLog::DecisionLog(DecisionLogOptions options)
    : m_options(std::move(options))
    , m_routine{m_options.routinePerSecond, m_options.routinePerSecond}
    , m_notable{m_options.notablePerSecond, m_options.notablePerSecond}
{
    if (m_options.write) {
        return;
    }
    spdlog::init_thread_pool(m_options.queueLines, 1);
    m_logger = std::make_shared<spdlog::async_logger>(
        "decisions", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    m_logger->set_pattern("%v");
    m_logger->flush_on(spdlog::level::warn);
}

DecisionLog::~DecisionLog() = default;

bool DecisionLog::write(LinePriority priority, std::string_view event, const nlohmann::ordered_json &fields, Instant now)
{
    if (!tryAcquire(priority == LinePriority::Routine ? m_routine : m_notable, now)) {
        ++m_dropped;
        ++m_unreportedDrops;
        return false;
    }
    if (m_unreportedDrops > 0) {
        emit("log_lines_dropped", {{"lines", std::exchange(m_unreportedDrops, 0)}});
    }
    emit(event, fields);
    return true;
}

void DecisionLog::flush()
{
    if (m_logger) {
        m_logger->flush();
    }
}

bool DecisionLog::tryAcquire(TokenBucket &allowance, Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - allowance.refilledAt).count();
    allowance.tokens = std::min(allowance.perSecond, allowance.tokens + std::max(0.0, elapsed) * allowance.perSecond);
    allowance.refilledAt = now;
    if (allowance.tokens < 1) {
        return false;
    }
    allowance.tokens -= 1;
    return true;
}

void DecisionLog::emit(std::string_view event, const nlohmann::ordered_json &fields)
{
    nlohmann::ordered_json line = {{"event", event}, {"time_ms", wallNow().time_since_epoch().count()}, {"vm", m_options.vm}};
    if (!fields.is_null()) {
        line.update(fields);
    }
    // External input may not be valid UTF-8; invalid bytes are replaced, so that the line is not lost.
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (m_options.write) {
        m_options.write(text);
        return;
    }
    m_logger->warn(fmt::string_view(text));
}

} // namespace auburndrum::gateway
