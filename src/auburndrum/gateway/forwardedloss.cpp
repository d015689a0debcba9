#include "forwardedrequest.h"

// A connection that ended under the request, and whether that is put down to its server or to this VM's path to all servers.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds PathCheckTime{90}; // in which probes are refused or reset if this VM is cut off, and accepted otherwise
constexpr milliseconds StaleCloseTime{30}; // a kept connection that ends sooner was closed by its server before it read the request

} // namespace

void ForwardedRequest::handleLostConnection(const net::HttpResult &result)
{
    const Instant now = suspendAwareNow();
    const bool isStale = result.reused && !m_attempt->head;
    // A kept connection that the server closed before responding says nothing about the server's health.
    if (!isStale && !m_state.serverPath.isPathLoss(now)) {
        m_state.chooser.recordFailure(m_attempt->choice.id, monotonicNow(), m_state.random);
    }
    recordCrash();
    if (m_state.onConnectionLost) {
        m_state.onConnectionLost(m_attempt->choice.id);
    }
    const bool mayBeStale = isStale && now - m_attempt->sentAtSuspendAware < StaleCloseTime;
    endAttempt(net::toText(result.failure));
    // Other open attempts go on, and the path is judged by them.
    if (mayBeStale || !m_otherAttempts.empty()) {
        retryOrConclude(true, Delivery::Delivered);
        return;
    }
    m_mayHaveRun = true;
    ++m_deliveries;
    if (!m_exchange->isBodyComplete()) {
        setBodyPaused(true); // what has not been read can still go elsewhere
    }
    m_pathCheckTimer.start(PathCheckTime);
}

void ForwardedRequest::retryAfterPathCheck()
{
    if (m_isConcluded) {
        return;
    }
    excusePathLosses();
    const bool isPathLoss = m_state.serverPath.isPathLoss(suspendAwareNow());
    if (isPathLoss && m_source == Source::EntryVm) {
        refuseWithoutPath(); // the VM that passed the request on decides who is asked next
        return;
    }
    retryOrConclude(true, Delivery::Uncounted);
}

void ForwardedRequest::excusePathLosses()
{
    const auto n = std::erase_if(m_lossTimes, [this](Instant it) {
        return m_state.serverPath.isPathLoss(it);
    });
    m_deliveries -= static_cast<std::uint32_t>(n);
    m_record.pathLosses += n;
    m_wasLost = m_wasLost && (n == 0 || !m_lossTimes.empty());
}

} // namespace auburndrum::gateway
