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
    if (endIfCallerGone()) {
        return;
    }
    const auto replacement = mayBeMoved() ? findReplacement() : std::nullopt;
    if (!replacement || !m_state.retryAllowance(m_service).tryAcquire(monotonicNow())) {
        m_attempt->keptDespite = result;
        m_silenceTimer.start(ReplacementCheckInterval);
        return;
    }
    if (m_attempt->isPassedOn()) {
        m_state.peerRoutes.onSilent(m_attempt->vm, suspendAwareNow());
    }
    m_state.chooser.recordFailure(m_attempt->choice.id, monotonicNow(), m_state.random);
    const auto self = shared_from_this();
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

bool ForwardedRequest::mayBeMoved() const
{
    const bool isAllowed = m_route->isRepeatable() && (!m_isStreaming || m_route->isResumable);
    const bool isSuspect = m_wasLost && m_state.quarantine.isSuspect(m_marks);
    return isAllowed && !isSuspect && canBeSentAgain(m_deliveries + 1)
        && m_state.quarantine.decide(m_marks, suspendAwareNow()).admission != decision::CrashAdmission::Refused;
}

std::optional<ForwardedRequest::Replacement> ForwardedRequest::findReplacement() const
{
    decision::NoServerReason reason = decision::NoServerReason::NoneListed;
    if (!m_state.serverPath.isCut()) {
        const auto choice = m_state.chooser.choose(makeQuery(), monotonicNow(), reason);
        if (choice && m_metadata.prompt && !canStartInTime(*choice)) {
            return std::nullopt;
        }
        if (choice) {
            return Replacement{.server = choice, .vm = std::nullopt};
        }
        if (reason != decision::NoServerReason::AllFailing) {
            return std::nullopt;
        }
    }
    const auto vm = chooseVm();
    return vm ? std::optional(Replacement{.server = std::nullopt, .vm = vm}) : std::nullopt;
}

} // namespace auburndrum::gateway
