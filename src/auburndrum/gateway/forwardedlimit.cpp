#include "forwardedrequest.h"

#include <algorithm>

// What a request tells about limits that servers name and about what they ask for themselves, and when it may come back where none takes it.

namespace auburndrum::gateway {

using std::chrono::milliseconds;

void ForwardedRequest::recordLimit()
{
    const decision::ServerChoice &choice = m_attempt->choice;
    const auto named = m_attempt->metadata.limitPerSecond;
    if (m_state.servers.find(choice.id) == nullptr) {
        return; // removed meanwhile: no state is stored for it
    }
    const auto change = m_state.limits.onResponse(choice.id, choice.startedAt, named, m_attempt->sentAtSuspendAware, suspendAwareNow());
    if (change == decision::LimitChange::None) {
        return;
    }
    m_state.metrics.stateChanges.with({"server_limit"}).Increment();
    m_state.log.write(LinePriority::Notable,
                      "server_limit",
                      {{"server", choice.id}, {"change", decision::toText(change)}, {"per_second", named.value_or(0)}, {"request", m_record.id}});
    if (m_state.onNewsForPeers) {
        m_state.onNewsForPeers();
    }
}

void ForwardedRequest::recordRoom()
{
    const Instant now = suspendAwareNow();
    const decision::ServerChoice &choice = m_attempt->choice;
    const AnswerMetadata &metadata = m_attempt->metadata;
    const auto change = m_state.brittle.onResponse(m_service, metadata.borneRejections, m_attempt->sentAtSuspendAware, now);
    if (change != decision::LimitChange::None) {
        m_state.metrics.stateChanges.with({"brittle_service"}).Increment();
        m_state.log.write(LinePriority::Notable,
                          "brittle_service",
                          {{"service", m_service},
                           {"change", decision::toText(change)},
                           {"borne_per_second", metadata.borneRejections.value_or(0)},
                           {"request", m_record.id}});
        if (m_state.onNewsForPeers) {
            m_state.onNewsForPeers();
        }
    }
    const std::uint32_t held = metadata.load ? metadata.load->running + metadata.load->waiting : 0;
    if (metadata.hasNotRun) {
        m_state.brittle.onRejected(m_service, choice.id, choice.startedAt, metadata.load ? std::optional(held) : std::nullopt, now);
        return;
    }
    m_state.brittle.onTaken(m_service, choice.id, choice.startedAt, m_attempt->ownRequests, held, m_attempt->sentAtSuspendAware, now);
}

void ForwardedRequest::recordWords(const std::string &server)
{
    const auto *entry = m_state.servers.find(server);
    if (entry == nullptr) {
        return;
    }
    const Instant now = suspendAwareNow();
    if (m_attempt->metadata.isLeaving && m_state.pauses.onLeaving(server, entry->server.startedAt, now)) {
        m_state.metrics.stateChanges.with({"server_leaving"}).Increment();
        m_state.log.write(LinePriority::Notable, "server_leaving", {{"server", server}, {"request", m_record.id}});
    }
    const auto rest = m_attempt->metadata.retryAfter;
    if (m_attempt->isPassedOn() || m_attempt->head->status != 503 || !rest) {
        return;
    }
    if (m_state.pauses.onRest(server, entry->server.startedAt, *rest, now)) {
        m_state.metrics.stateChanges.with({"server_rest"}).Increment();
        m_state.log.write(LinePriority::Notable, "server_rest", {{"server", server}, {"rest_ms", rest->count()}, {"request", m_record.id}});
    }
}

milliseconds ForwardedRequest::soonestRestEnd() const
{
    const Instant now = suspendAwareNow();
    milliseconds soonest = milliseconds::max();
    for (const auto *it : m_state.servers.findByService(m_service)) {
        const milliseconds left = m_state.pauses.restLeft(it->server.id, it->server.startedAt, now);
        if (left.count() > 0 && decision::BackendList::acceptsRequests(*it)) {
            soonest = std::min(soonest, left);
        }
    }
    return soonest == milliseconds::max() ? milliseconds(0) : soonest;
}

milliseconds ForwardedRequest::promisePermit()
{
    const Instant now = suspendAwareNow();
    const decision::BackendList::Entry *soonest = nullptr;
    milliseconds least = milliseconds::max();
    for (const auto *it : m_state.servers.findByService(m_service)) {
        const bool wasTried = std::find(m_triedServers.begin(), m_triedServers.end(), it->server.id) != m_triedServers.end();
        if (wasTried || !decision::BackendList::acceptsRequests(*it)) {
            continue;
        }
        const milliseconds time = m_state.limits.timeToPermit(it->server.id, it->server.startedAt, now);
        if (time < least) {
            least = time;
            soonest = it;
        }
    }
    return soonest == nullptr ? m_retryAfter.value_or(milliseconds(0))
                              : m_state.limits.promisePermit(soonest->server.id, soonest->server.startedAt, timeLeft(), now);
}

} // namespace auburndrum::gateway
