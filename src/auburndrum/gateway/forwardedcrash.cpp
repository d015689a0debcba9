#include "auburndrum/gateway/recordstore.h"
#include "forwardedrequest.h"

// What a request tells about requests and prompt parts that crash their servers.

namespace auburndrum::gateway {

namespace {

// A request that crashes its server does so when the server begins to write: one whose events have arrived for longer than this was not the cause.
constexpr std::chrono::milliseconds WritingTime{500};

} // namespace

void ForwardedRequest::startFingerprint()
{
    const QByteArray &method = m_exchange->method();
    const QByteArray &target = m_exchange->head().target;
    const std::string &caller = m_organisation != nullptr ? m_organisation->name : m_metadata.apiKey;
    m_marks = decision::marksOf(m_metadata.prompt ? &*m_metadata.prompt : nullptr);
    m_fingerprint.emplace(toView(method), m_metadata.host, toView(target), caller);
    addToFingerprint(m_exchange->body(), m_exchange->isBodyComplete());
}

void ForwardedRequest::addToFingerprint(const QByteArray &part, bool last)
{
    m_fingerprint->addBody(toView(part));
    if (last) {
        m_record.requestMark = m_fingerprint->mark();
        m_marks.push_back(m_record.requestMark);
    }
}

bool ForwardedRequest::mustReadBody() const
{
    return !m_exchange->isBodyComplete() && m_state.quarantine.keepsAwayWithin(m_fingerprint->scope());
}

void ForwardedRequest::holdBody(const QByteArray &part, bool last)
{
    if (m_isConcluded) {
        return;
    }
    if (m_state.heldBodyBytes + part.size() > m_state.maxHeldBodyBytes) {
        refuse(503, "too many bodies to compare with a request that crashes backend servers");
        return;
    }
    m_state.heldBodyBytes += part.size();
    *m_heldBody += part;
    if (last) {
        tryNextServer();
    }
}

void ForwardedRequest::releaseHeldBody()
{
    if (m_heldBody) {
        m_state.heldBodyBytes -= m_heldBody->size();
        m_heldBody->clear();
    }
}

bool ForwardedRequest::isKeptAway()
{
    m_crashDecision = m_state.quarantine.decide(m_marks, suspendAwareNow());
    if (m_crashDecision.admission != decision::CrashAdmission::Allowed) {
        m_record.crashDecision = m_crashDecision;
    }
    if (m_crashDecision.admission != decision::CrashAdmission::Refused) {
        return false;
    }
    m_record.noServerReason = "request kept away";
    m_retryAfter = m_crashDecision.retryAfter;
    return true;
}

void ForwardedRequest::recordResponse()
{
    if (!m_attempt->incarnation.empty()) {
        m_state.quarantine.onResponse(m_attempt->incarnation, m_attempt->sentAtSuspendAware, suspendAwareNow());
    }
}

void ForwardedRequest::recordWholeResponse()
{
    if (!m_attempt->incarnation.empty()) {
        m_state.quarantine.onWholeResponse(m_attempt->incarnation, m_marks, !m_attempt->endedByClose, suspendAwareNow());
    }
}

void ForwardedRequest::recordCrash()
{
    const Instant now = suspendAwareNow();
    m_wasLost = true;
    m_lossTimes.push_back(now);
    const auto *server = m_state.servers.find(m_attempt->choice.id);
    const bool isLeaving = server == nullptr || server->server.isDraining;
    const bool wasWriting = m_attempt->firstEventAt && monotonicNow() - *m_attempt->firstEventAt >= WritingTime;
    if (m_attempt->incarnation.empty() || isLeaving || wasWriting || m_state.serverPath.isPathLoss(now)) {
        return;
    }
    m_state.quarantine.onLost(m_attempt->incarnation, m_marks, m_attempt->sentAtSuspendAware, now);
    if (m_state.onNewsForPeers) {
        m_state.onNewsForPeers();
    }
}

void ForwardedRequest::recordRefusedConnection()
{
    if (!m_attempt->incarnation.empty()) {
        m_state.quarantine.onRefusedConnection(m_attempt->incarnation, suspendAwareNow());
    }
}

} // namespace auburndrum::gateway
