#include "auburndrum/gateway/gateway.h"

// What the gateway reads from the store: configurations, weights and backend servers' entries.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

} // namespace

std::optional<milliseconds> Gateway::observeChange(const std::string &topic, const KeyedFeed &feed)
{
    const auto before = feed.previousReadAt();
    if (!before) {
        return std::nullopt;
    }
    const auto delay = std::chrono::floor<milliseconds>(suspendAwareNow() - *before);
    m_state.metrics.changeDelaySeconds.with({topic}).Observe(std::chrono::duration<double>(delay).count());
    return delay;
}

void Gateway::logBatch(const std::string &topic, const BatchReport &report)
{
    m_state.metrics.recordsSuperseded.with({topic}).Increment(static_cast<double>(report.superseded));
    const bool isPartial = report.end.value_or(report.next) > report.next;
    if (report.superseded == 0 && !isPartial) {
        return;
    }
    m_state.log.write(LinePriority::Notable,
                      "read_behind",
                      {{"topic", topic},
                       {"from", report.from},
                       {"next", report.next},
                       {"end", report.end ? static_cast<std::int64_t>(*report.end) : -1},
                       {"records", report.records},
                       {"superseded", report.superseded},
                       {"ms", report.duration.count()},
                       {"through", m_relayLink.isRelayed() ? "relay" : "store"}});
}

void Gateway::logOverdue(const std::string &topic, int repeats, milliseconds waited, std::optional<milliseconds> sinceBytes)
{
    m_state.metrics.readsRepeated.with({topic}).Increment();
    m_state.log.write(LinePriority::Notable,
                      "read_overdue",
                      {{"topic", topic},
                       {"repeats", repeats},
                       {"waited_ms", waited.count()},
                       {"bytes_ms", sinceBytes ? sinceBytes->count() : -1},
                       {"through", m_relayLink.isRelayed() ? "relay" : "store"}});
}

bool Gateway::applyOperatorRecord(const std::string &key, const std::optional<QByteArray> &value)
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::OperatorRecords);
    if (!value) {
        return true;
    }
    std::string problem;
    if (m_readers.isConfiguration(key)) {
        auto configuration = m_readers.readConfiguration(toView(*value), problem);
        if (!configuration) {
            skipRecord(m_options.operatorTopic, key, problem);
            return false;
        }
        applyConfiguration(std::move(*configuration));
        return true;
    }
    if (!m_readers.isWeights(key)) {
        return true;
    }
    const auto weights = m_readers.readWeights(toView(*value), problem);
    if (!weights) {
        skipRecord(m_options.operatorTopic, key, problem);
        return false;
    }
    const auto readBefore = m_operatorFeed.previousReadAt();
    // Weights that were named before the start may have been named at any time: their limit then passes when this VM has settled.
    const Instant countsFrom = readBefore.value_or(suspendAwareNow() - (m_options.outdatedWeightsLimit - m_options.startSettleTime));
    if (!m_state.weights[weights->first].addVersion(weights->second, countsFrom, !readBefore)) {
        return true;
    }
    m_state.metrics.stateChanges.with({"weights"}).Increment();
    m_state.log.write(LinePriority::Notable, "weights_named", {{"model", weights->first}, {"version", weights->second}});
    return true;
}

bool Gateway::applyBackendRecord(const std::string &id, const std::optional<QByteArray> &value, bool duringOutage)
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::ServerRecords);
    const Instant now = monotonicNow();
    decision::BackendChange change = decision::BackendChange::None;
    if (!value) {
        change = m_state.servers.remove(id, now, duringOutage);
    } else {
        std::string problem;
        const auto server = m_readers.readBackendServer(id, toView(*value), problem);
        if (!server) {
            skipRecord(m_options.backendTopic, id, problem);
            return false;
        }
        change = m_state.servers.put(*server, now);
    }
    if (change == decision::BackendChange::None) {
        return true;
    }
    if (change == decision::BackendChange::Removed || change == decision::BackendChange::Restarted) {
        m_state.chooser.forget(id);
        m_state.limits.forget(id);
    }
    m_state.metrics.stateChanges.with({"backend_server"}).Increment();
    const auto delay = observeChange(m_options.backendTopic, m_backendFeed);
    const auto *entry = m_state.servers.find(id);
    m_state.log.write(LinePriority::Notable,
                      "backend_server",
                      {{"server", id},
                       {"change", decision::toText(change)},
                       {"service", entry == nullptr ? "" : entry->server.service},
                       {"address", entry == nullptr ? "" : entry->server.address},
                       {"software", entry == nullptr ? "" : entry->server.softwareVersion},
                       {"delay_ms", delay ? delay->count() : -1},
                       {"during_outage", duringOutage}});
    return true;
}

void Gateway::skipRecord(const std::string &topic, const std::string &key, const std::string &problem)
{
    m_state.metrics.recordsSkipped.with({topic}).Increment();
    m_state.log.write(LinePriority::Notable, "record_skipped", {{"topic", topic}, {"key", key}, {"problem", problem}});
}

} // namespace auburndrum::gateway
