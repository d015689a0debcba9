#include "auburndrum/decision/traffic/urgency.h"
#include "forwardedrequest.h"

// How a request leaves a server that may be sound: only once another one goes on with it.

namespace auburndrum::gateway {

void ForwardedRequest::moveIfReplaceable(const char *result)
{
    const auto self = shared_from_this();
    if (endIfCallerGone()) {
        return;
    }
    const auto replacement = mayBeMoved() ? findReplacement() : std::nullopt;
    if (!replacement || !m_state.retryAllowance(m_service).tryAcquire(monotonicNow())) {
        m_attempt->keptDespite = result;
        if (!m_attempt->head && !m_state.serverPath.isCut()) {
            recordSilence(*m_attempt); // it answers nobody; a stream's server may just pause
        }
        m_silenceTimer.start(ReplacementCheckInterval);
        return;
    }
    if (!m_attempt->head) { // a stream's server may just pause
        recordReplaced(*m_attempt);
    }
    m_crashDecision = m_state.quarantine.decide(m_marks, suspendAwareNow());
    m_attempt->keptDespite = result;
    m_mayHaveRun = true;
    if (mayStayOpen()) {
        keepAttemptOpen();
    } else {
        net::HttpCallHandle call = m_attempt->call;
        endAttempt(result);
        call.cancel();
        ++m_deliveries;
    }
    if (replacement->vm) {
        sendToVm(*replacement->vm);
        return;
    }
    send(*replacement->server);
}

void ForwardedRequest::recordSilence(ForwardAttempt &attempt)
{
    if (!std::exchange(attempt.isSilenceRecorded, true)) {
        m_state.chooser.recordFailure(attempt.choice.id, monotonicNow(), m_state.random);
    }
}

void ForwardedRequest::recordReplaced(ForwardAttempt &attempt)
{
    if (attempt.isPassedOn()) {
        m_state.peerRoutes.onSilent(attempt.vm, suspendAwareNow());
    }
    recordSilence(attempt);
}

bool ForwardedRequest::mayBeMoved() const
{
    const bool isAllowed = m_route->isRepeatable() && (!m_isStreaming || m_route->isResumable);
    const bool isSuspect = m_wasLost && m_state.quarantine.isSuspect(m_marks);
    return isAllowed && !isSuspect && canBeSentAgain(otherDeliveries() + 1) && m_state.retryAllowance(m_service).remaining(monotonicNow()) >= 1
        && m_state.quarantine.decide(m_marks, suspendAwareNow()).admission != decision::CrashAdmission::Refused;
}

std::optional<ForwardedRequest::Replacement> ForwardedRequest::findReplacement() const
{
    decision::NoServerReason reason = decision::NoServerReason::NoneListed;
    if (m_state.serverPath.isCut()) {
        const auto vm = chooseVm();
        return vm ? std::optional(Replacement{.server = std::nullopt, .vm = vm}) : std::nullopt;
    }
    const auto choice = m_state.chooser.choose(makeQuery(), monotonicNow(), reason);
    const bool canTakeOver = choice && (!m_metadata.prompt || canStartInTime(*choice));
    return canTakeOver ? std::optional(Replacement{.server = choice, .vm = std::nullopt}) : std::nullopt;
}

} // namespace auburndrum::gateway
