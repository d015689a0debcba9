#include "auburndrum/decision/traffic/urgency.h"
#include "forwardedrequest.h"

// How a request leaves a server that may be sound: only once another one can take over.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ReplacementCheckInterval{100}; // while a request stays at a silent server because no other one can take over

} // namespace

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
            recordSilence(); // it answers nobody; a stream's server may just pause
        }
        m_silenceTimer.start(ReplacementCheckInterval);
        return;
    }
    if (m_attempt->isPassedOn()) {
        m_state.peerRoutes.onSilent(m_attempt->vm, suspendAwareNow());
    }
    recordSilence();
    m_crashDecision = m_state.quarantine.decide(m_marks, suspendAwareNow());
    net::HttpCallHandle call = m_attempt->call;
    endAttempt(result);
    call.cancel();
    m_mayHaveRun = true;
    ++m_deliveries;
    if (replacement->vm) {
        sendToVm(*replacement->vm);
        return;
    }
    send(*replacement->server);
}

void ForwardedRequest::recordSilence()
{
    if (!std::exchange(m_attempt->isSilenceRecorded, true)) {
        m_state.chooser.recordFailure(m_attempt->choice.id, monotonicNow(), m_state.random);
    }
}

bool ForwardedRequest::mayBeMoved() const
{
    const bool isAllowed = m_route->isRepeatable() && (!m_isStreaming || m_route->isResumable);
    const bool isSuspect = m_wasLost && m_state.quarantine.isSuspect(m_marks);
    return isAllowed && !isSuspect && canBeSentAgain(m_deliveries + 1) && m_state.retryAllowance(m_service).remaining(monotonicNow()) >= 1
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
