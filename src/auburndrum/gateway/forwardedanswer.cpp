#include "forwardedrequest.h"

#include <algorithm>

namespace auburndrum::gateway {

using std::chrono::milliseconds;

bool ForwardedRequest::isOwnAnswer(const net::HttpHead &head)
{
    const std::string id = m_state.wire.readAnswer(head).requestId;
    // Another VM's own answers bear no id; the connection to it has carried nothing else.
    const bool isOwn = id == m_metadata.id || (id.empty() && m_attempt && m_attempt->isPassedOn());
    if (!isOwn) {
        m_state.metrics.foreignAnswers.with({m_service}).Increment();
    }
    if (!isOwn && m_attempt) {
        ++m_attempt->foreignAnswers;
    }
    return isOwn;
}

void ForwardedRequest::handleHead(const net::HttpHead &head)
{
    m_attempt->head = head;
    m_attempt->lastBytesAt = monotonicNow();
    m_attempt->answeredAt = m_attempt->lastBytesAt;
    m_weightsTimer.stop();
    checkWeights();
    checkOverlap();
    recordReached();
    if (m_attempt->isPassedOn()) {
        const RelayedAnswer answer = readRelayedAnswer(head.headers);
        m_attempt->choice.softwareVersion = answer.softwareVersion;
        m_attempt->metadata = m_state.wire.readAnswer(head);
        recordWords(answer.server); // they hold for each VM that passes them on
        return;
    }
    if (head.status != 421) { // which another server gives that has the address now
        recordResponse();
    }
    m_attempt->metadata = m_state.wire.readAnswer(head);
    if (head.status != 421) {
        recordLimit();
        recordRoom();
        recordWords(m_attempt->choice.id);
    }
    if (m_attempt->metadata.load) {
        m_state.chooser.onLoadReport(m_attempt->choice.id, *m_attempt->metadata.load, monotonicNow());
    }
}

void ForwardedRequest::handleBody(const QByteArray &part)
{
    if (m_isConcluded || !m_attempt || !m_attempt->head) {
        return;
    }
    m_attempt->lastBytesAt = monotonicNow();
    if (isEventStream()) {
        handleEvents(part);
        return;
    }
    m_attempt->body += part;
    countHeldBytes();
}

void ForwardedRequest::countHeldBytes()
{
    const auto bytes = static_cast<std::uint64_t>(m_attempt->body.size() + m_attempt->events.incompleteEventBytes());
    const auto tooLarge = m_state.responseMemory.setHeld(m_attempt->memoryId, bytes);
    if (!tooLarge) {
        return;
    }
    const auto giveUp = m_state.giveUpResponse.at(*tooLarge);
    giveUp();
}

void ForwardedRequest::handleDone(const net::HttpResult &result)
{
    if (m_isConcluded || !m_attempt) {
        return;
    }
    if (result.failure == net::HttpFailure::Cancelled) { // the caller left while the connection was being opened
        handleCallerGone();
        return;
    }
    m_attempt->endedByClose = result.endedByClose;
    if (result.failure != net::HttpFailure::None) {
        handleFailedCall(result);
        return;
    }
    handleCompleteAnswer();
}

void ForwardedRequest::handleCompleteAnswer()
{
    const net::HttpHead head = *m_attempt->head;
    const AnswerMetadata metadata = m_attempt->metadata;
    const std::string server = m_attempt->choice.id;
    if (handleVmAnswer()) {
        return;
    }
    m_answeringServer = m_attempt->choice;
    if (metadata.hasNotRun) {
        m_state.chooser.onRefused(server, monotonicNow());
        endAttempt("not_run");
        // A request that may have run elsewhere can't be refused to its caller any more, and a server that refused it has not run it.
        retryOrConclude(false, head.status == 421 || m_mayHaveRun ? Delivery::WrongServer : Delivery::Delivered);
        return;
    }
    const bool isNoStream = m_attempt->goesOn && m_route->kind == decision::RequestKind::Streaming && isSuccess(head.status) && !isEventStream();
    const bool isUnusable
        = metadata.isEncoded || (isSuccess(head.status) && !metadata.isSealed) || (meansNotRun(head.status) && !metadata.isSealed) || isNoStream;
    if (isUnusable) {
        m_state.chooser.recordFailure(server, monotonicNow(), m_state.random);
        endAttempt("unusable_answer");
        retryOrConclude(true, Delivery::Delivered);
        return;
    }
    if (!isSuccess(head.status)) {
        recordWholeResponse(); // a failure, but the server outlived the request
        const QByteArray body = m_attempt->body;
        const bool mayTryAgain = head.status >= 500 && !m_attempt->isPassedOn(); // the other VM has done so
        endAttempt("server_failure");
        m_serverFailure.emplace(head, body);
        if (mayTryAgain) {
            retryOrConclude(true, Delivery::Delivered);
            return;
        }
        if (head.status < 500 && !meansNotRun(head.status) && !m_isStreaming) {
            supersedeOtherAttempts(); // the request is at fault, so that no other server would do better
        }
        concludeWithoutAnswer();
        return;
    }
    if (isEventStream()) {
        finishStream();
        return;
    }
    m_state.chooser.recordSuccess(server);
    recordWholeResponse();
    m_state.chooser.onFirstEvent(m_attempt->choice, std::chrono::floor<std::chrono::microseconds>(monotonicNow() - m_attempt->sentAt), monotonicNow());
    m_attempt->hasResponded = true;
    const QByteArray body = m_attempt->body;
    endAttempt("served");
    m_record.firstByteAt = monotonicNow();
    respond(head, body);
    conclude(Outcome::Served, head.status, "");
}

void ForwardedRequest::handleFailedCall(const net::HttpResult &result)
{
    if (m_attempt->isPassedOn()) {
        handleFailedVm(result);
        return;
    }
    const bool wasResetUnanswered = result.failure == net::HttpFailure::Closed && !result.reused && !m_attempt->head;
    // A request that ends its servers looks like a cut from here, so that only its first reset is a sign of one.
    const bool isFurtherReset = wasResetUnanswered && std::exchange(m_wasResetUnanswered, true);
    if ((!result.sent || wasResetUnanswered) && !isFurtherReset) {
        const auto waited = std::chrono::floor<milliseconds>(suspendAwareNow() - m_attempt->sentAtSuspendAware);
        recordUnreachable(result.sent ? milliseconds(0) : waited); // a connection that was open had a path until its end
    }
    if (!result.sent) {
        m_state.chooser.recordUnreachable(m_attempt->choice.id, monotonicNow(), m_state.random);
    }
    if (result.failure == net::HttpFailure::Closed && result.sent) {
        handleLostConnection(result);
        return;
    }
    if (result.sent) {
        m_state.chooser.recordFailure(m_attempt->choice.id, monotonicNow(), m_state.random);
    }
    if (result.failure == net::HttpFailure::ConnectFailed) {
        recordRefusedConnection();
    }
    endAttempt(net::toText(result.failure));
    retryOrConclude(result.sent, result.sent ? Delivery::Delivered : Delivery::NotSent);
}

void ForwardedRequest::endAttempt(const char *result)
{
    if (!m_attempt) {
        return;
    }
    recordAttempt(*m_attempt, result);
    m_attempt.reset();
}

void ForwardedRequest::recordAttempt(const ForwardAttempt &attempt, const char *result)
{
    const Instant now = monotonicNow();
    const auto duration = now - attempt.sentAt;
    const auto silentFor = std::chrono::floor<milliseconds>(now - attempt.lastBytesAt);
    std::optional<milliseconds> answeredAfter;
    if (attempt.answeredAt) {
        answeredAfter = std::chrono::floor<milliseconds>(*attempt.answeredAt - attempt.sentAt);
    }
    m_record.attempts.push_back({.choice = attempt.choice,
                                 .result = result,
                                 .duration = std::chrono::floor<milliseconds>(duration),
                                 .endedByClose = attempt.endedByClose,
                                 .partialEventBytes = attempt.events.incompleteEventBytes(),
                                 .limitPerSecond = attempt.metadata.limitPerSecond,
                                 .sentAfter = std::chrono::floor<milliseconds>(attempt.sentAt - m_record.arrivedAt),
                                 .unacknowledgedBytes = attempt.unacknowledgedBytes,
                                 .foreignAnswers = attempt.foreignAnswers,
                                 .refusal = {},
                                 .isPassedOn = attempt.isPassedOn(),
                                 .keptDespite = attempt.keptDespite,
                                 .silentFor = attempt.head ? std::optional(silentFor) : std::nullopt,
                                 .answeredAfter = answeredAfter});
    m_state.chooser.onFinished(attempt.choice, attempt.hasResponded, std::chrono::floor<std::chrono::microseconds>(duration));
    if (attempt.isPassedOn()) {
        m_state.peerRoutes.onFinished(attempt.vm);
    }
    m_state.responseMemory.remove(attempt.memoryId);
    m_state.giveUpResponse.erase(attempt.memoryId);
}

bool ForwardedRequest::canBeSentAgain(std::uint32_t deliveries) const
{
    return m_attemptCount < MaxAttempts && m_isBodyRepeatable && timeLeft() >= MinAttemptTime && deliveries < m_route->maxServers;
}

const char *ForwardedRequest::obstacleToRepeating() const
{
    const bool isAllowed = !m_mayHaveRun || m_route->isRepeatable();
    const bool isResumeAllowed = !m_isStreaming || m_route->isResumable;
    if (!isAllowed || !isResumeAllowed) {
        return "may run once only";
    }
    // A request that crashed its server would crash the next one.
    return m_wasLost && m_state.quarantine.isSuspect(m_marks) ? "suspect of crashes" : "";
}

const char *ForwardedRequest::acquireRetry(Delivery delivery)
{
    if (!canBeSentAgain(otherDeliveries())) {
        return "limits of one request";
    }
    // An attempt that reached no server adds no load, so it needs no retry permit.
    const bool hasPermit = delivery == Delivery::NotSent || m_state.retryAllowance(m_service).tryAcquire(monotonicNow());
    return hasPermit ? "" : "no retry left";
}

void ForwardedRequest::retryOrConclude(bool mayHaveRun, Delivery delivery)
{
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    if (delivery == Delivery::Delivered) {
        ++m_deliveries;
    }
    excusePathLosses();
    if (resumeSoundAttempt()) {
        return; // it has taken over, or goes on
    }
    m_record.notSentAgain = obstacleToRepeating();
    const bool mayBeRepeated = m_record.notSentAgain.empty();
    if (mayBeRepeated) {
        m_record.notSentAgain = acquireRetry(delivery);
    }
    if (m_record.notSentAgain.empty()) {
        tryNextServer();
        return;
    }
    const bool isUnreached = delivery == Delivery::NotSent && m_isBodyRepeatable && timeLeft() >= MinAttemptTime;
    if (isUnreached && mayBeRepeated && passOn()) {
        return;
    }
    concludeWithoutAnswer();
}

} // namespace auburndrum::gateway
