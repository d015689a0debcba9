#include "auburndrum/gateway/gateway.h"

#include "forwardedrequest.h"
#include "stoptimes.h"

#include <utility>

// Planned stops.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds StopCheckInterval{50};
// From the accept of a connection until its first request has arrived, also where a packet is sent again. So long before its end a stop accepts no more.
constexpr milliseconds FirstRequestTime{1000};
constexpr milliseconds StopMargin{500}; // before the platform kills the process, when each request has its final answer; more where the event loop runs late
constexpr int MaxMarginShare = 6; // the margin is at most the grace divided by this
constexpr milliseconds ExitMargin{250}; // before that, when the process ends; the last answers leave between the two

} // namespace

void Gateway::stop(std::function<void()> onStopped)
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    m_stopGrace = m_options.stopGrace;
    // A late event loop sees the signal late, and the grace counts from the signal. After a long pause of the process it may just have come.
    m_stopAt = std::max(lastOnTime(), monotonicNow() - m_stopGrace / MaxMarginShare);
    m_onStopped = std::move(onStopped);
    const auto lag = m_lag.longest(monotonicNow());
    const auto margin = std::max(StopMargin, std::min(StopMargin + lag, m_stopGrace / MaxMarginShare));
    m_state.leavesRotationAt = m_stopAt + BalancerLag;
    m_state.stopEndsAt = m_stopAt + m_stopGrace - margin;
    m_state.stopMayEndAt = std::min(lastOnTime(), m_stopAt - lag) + m_stopGrace - margin;
    for (ForwardedRequest *it : m_state.openRequests) {
        it->endWithStop();
    }
    m_state.log.write(LinePriority::Notable, "stop", {{"open_requests", m_callerServer.openExchanges()}, {"margin_ms", margin.count()}});
    m_callerServer.closeAfterAnswers();
    m_relayLink.stop();
    m_weightUpdater.beginStop();
    m_stopTimer.start(StopCheckInterval);
}

void Gateway::finishStop()
{
    const Instant now = monotonicNow();
    const bool isOver = now >= *m_state.stopEndsAt;
    if (now < *m_state.leavesRotationAt && !isOver) {
        return;
    }
    // When too few entry VMs are ready, the balancer also uses those that aren't: while earlier work keeps this one, it answers new callers, too.
    const bool hasEarlierWork = m_callerServer.hasConnectionFromBefore(*m_state.leavesRotationAt) || !m_relayLink.isIdle();
    if (!hasEarlierWork || now >= *m_state.stopMayEndAt - FirstRequestTime) {
        stopListening();
    }
    m_callerServer.closeRestedConnections(FirstRequestTime);
    if (isOver && !std::exchange(m_hasReadAtEnd, true)) {
        m_stopTimer.start(milliseconds(0)); // sockets are read before timers: what has arrived while the loop was late is read first
        return;
    }
    if (isOver) {
        m_stopTimer.start(StopCheckInterval);
        m_callerServer.refuseUnreadRequests();
        endOpenRequests();
        flushAnswers();
    }
    const bool isDone = m_callerServer.isIdle() && m_callerServer.connectionCount() == 0 && m_relayLink.isIdle();
    if (!isDone && now - m_stopAt < m_stopGrace - ExitMargin) {
        return;
    }
    if (!isDone && !std::exchange(m_hasReadAtExit, true)) {
        m_stopTimer.start(milliseconds(0)); // what has arrived on connections that are still kept is read, and refused, first
        return;
    }
    m_stopTimer.stop();
    m_callerServer.closeIdleConnections();
    m_relayLink.refuseUnreadRequests();
    flushAnswers();
    m_weightUpdater.finishStop([this] {
        flushAnswers();
        m_state.log.write(LinePriority::Notable, "stopped", {{"open_requests", m_callerServer.openExchanges()}});
        m_state.log.flush();
        m_onStopped();
    });
}

void Gateway::stopListening()
{
    if (!m_callerServer.isListening()) {
        return;
    }
    const int accepted = m_callerServer.stopListening();
    m_state.log.write(LinePriority::Notable,
                      "listener_closed",
                      {{"stop_ms", std::chrono::floor<milliseconds>(monotonicNow() - m_stopAt).count()},
                       {"accepted", accepted},
                       {"connections", m_callerServer.connectionCount()},
                       {"open_requests", m_callerServer.openExchanges()}});
}

void Gateway::endOpenRequests()
{
    // When the event loop is late, their own timers may run only after the one that ends the process.
    while (!m_state.openRequests.empty()) {
        (*m_state.openRequests.begin())->handleTimeout();
    }
}

void Gateway::flushAnswers()
{
    m_callerServer.flush();
    m_relayLink.flush();
}

} // namespace auburndrum::gateway
