#include "forwardedrequest.h"

// How a request ends for its caller.

namespace auburndrum::gateway {

using std::chrono::milliseconds;

bool ForwardedRequest::meansNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void ForwardedRequest::handleTimeout()
{
    if (m_isConcluded) {
        return;
    }
    const auto self = shared_from_this();
    if (m_attempt) {
        net::HttpCallHandle call = m_attempt->call;
        m_mayHaveRun = m_mayHaveRun || call.isSent();
        m_deliveries += call.isSent() ? 1 : 0;
        endAttempt("out_of_time");
        call.cancel();
    }
    endOtherAttempts("out_of_time");
    if (m_isStreaming) {
        abortStream("out of time");
        return;
    }
    refuse(m_mayHaveRun ? 504 : 503, "out of time");
}

void ForwardedRequest::handleCallerGone()
{
    if (m_isConcluded) {
        return;
    }
    if (m_attempt) {
        net::HttpCallHandle call = m_attempt->call;
        m_attempt->unacknowledgedBytes = call.unacknowledgedBytes();
        endAttempt("caller_gone");
        call.cancel();
    }
    endOtherAttempts("caller_gone");
    conclude(Outcome::CallerGone, 0, "the caller closed its connection");
    m_exchange->abort();
}

bool ForwardedRequest::endIfCallerGone()
{
    if (!m_exchange->hasCallerClosed()) {
        return false;
    }
    handleCallerGone();
    return true;
}

void ForwardedRequest::concludeWithoutAnswer()
{
    if (resumeOtherAttempt()) {
        return;
    }
    if (m_isStreaming) {
        abortStream("the stream broke and can't be resumed");
        return;
    }
    if (m_serverFailure) {
        const auto [head, body] = *m_serverFailure;
        respond(head, body);
        conclude(Outcome::ServerFailure, head.status, "the backend server failed");
        return;
    }
    if (m_mayHaveRun) {
        refuse(502, "no usable answer; the request may have run");
        return;
    }
    if (m_crashDecision.admission == decision::CrashAdmission::Refused) {
        refuse(503, "backend servers crash under this request");
        return;
    }
    refuse(503, m_record.noServerReason.empty() ? "no backend server took the request" : "no backend server to send to");
}

void ForwardedRequest::respond(const net::HttpHead &head, const QByteArray &body)
{
    m_exchange->respond(head.status, answerHeaders(head), body);
}

void ForwardedRequest::refuse(int status, const char *reason)
{
    std::vector<net::Header> headers;
    if (meansNotRun(status) && m_retryAfter) {
        headers.push_back({"Retry-After", QByteArray::number(std::chrono::duration<double>(*m_retryAfter).count())});
    }
    if (m_source == Source::EntryVm) {
        addFields(headers, RelayedAnswer{.vm = m_state.vmName, .hasNoPath = m_hasNoPath && status == 503, .deliveries = m_deliveries});
    }
    const nlohmann::json body = {{"error", reason}};
    m_exchange->respondJson(status, QByteArray::fromStdString(body.dump()), headers);
    const bool isRejection = status == 401 || status == 404;
    const Outcome outcome = isRejection ? Outcome::Rejected : meansNotRun(status) ? Outcome::Refused : status == 504 ? Outcome::TimedOut : Outcome::Failed;
    conclude(outcome, status, reason);
}

void ForwardedRequest::conclude(Outcome outcome, int status, const char *reason)
{
    m_isConcluded = true;
    supersedeOtherAttempts();
    m_state.openRequests.erase(this);
    if (outcome == Outcome::Served || outcome == Outcome::TimedOut) {
        m_state.routeDurations.add(m_record.route, std::chrono::ceil<milliseconds>(monotonicNow() - m_startedAt));
    }
    releaseHeldBody();
    m_deadlineTimer.stop();
    m_silenceTimer.stop();
    m_weightsTimer.stop();
    m_waitTimer.stop();
    m_overlapTimer.stop();
    m_pathCheckTimer.stop();
    m_record.retriesLeft = m_service.empty() ? 0 : m_state.retryAllowance(m_service).remaining(monotonicNow());
    m_record.isBodyRepeatable = m_isBodyRepeatable;
    recordRequest(m_state, m_record, outcome, status, reason);
}

void ForwardedRequest::abortStream(const char *reason)
{
    m_exchange->breakOff();
    conclude(Outcome::Cut, 0, reason);
}

} // namespace auburndrum::gateway
