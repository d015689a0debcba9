#include "completioncall.h"

namespace auburndrum::caller {

namespace {

constexpr std::size_t MaxAttempts = 4;

bool provesNotRun(backend::EngineEndKind kind)
{
    return kind == backend::EngineEndKind::NotSent || kind == backend::EngineEndKind::Refused;
}

const char *toText(backend::EngineEndKind kind)
{
    switch (kind) {
    case backend::EngineEndKind::Complete:
        return "complete";
    case backend::EngineEndKind::Rejected:
        return "rejected";
    case backend::EngineEndKind::Refused:
        return "refused";
    case backend::EngineEndKind::NotSent:
        return "not sent";
    case backend::EngineEndKind::WrongVersion:
        return "wrong version";
    case backend::EngineEndKind::WrongAttempt:
        return "wrong attempt";
    case backend::EngineEndKind::Broken:
        return "broken";
    }
    return "unknown";
}

} // namespace

void CompletionCall::handleEnd(const backend::EngineEnd &end)
{
    recordServerOutcome(end);
    if (end.kind == backend::EngineEndKind::Complete || end.kind == backend::EngineEndKind::Rejected) {
        complete(end);
        return;
    }
    handleFailure(end);
}

void CompletionCall::recordServerOutcome(const backend::EngineEnd &end)
{
    const decision::ServerId server = m_placement->server;
    switch (end.kind) {
    case backend::EngineEndKind::Complete:
    case backend::EngineEndKind::Rejected:
        m_context.fleet.recordSuccess(server);
        break;
    case backend::EngineEndKind::Refused:
        break; // a deliberate refusal is no failure of the server
    case backend::EngineEndKind::WrongVersion:
        m_context.fleet.observeVersion(server, end.head.header("X-Weight-Version").toStdString());
        break;
    case backend::EngineEndKind::WrongAttempt:
        m_context.metrics.mismatchedAnswers.with({m_service->name}).Increment();
        m_context.fleet.recordFailure(server, monotonicNow());
        break;
    case backend::EngineEndKind::NotSent:
    case backend::EngineEndKind::Broken:
        m_context.fleet.recordFailure(server, monotonicNow());
        break;
    }
    if (end.isLeaving) {
        m_context.onLeavingServer(m_placement->address, end.head.header("X-Incarnation").toULongLong());
    }
    if (end.resumes > 0) {
        m_context.timeline.record(EventKind::StreamResumed, m_requestId, std::to_string(end.resumes) + " times");
    }
}

void CompletionCall::complete(const backend::EngineEnd &end)
{
    if (end.kind == backend::EngineEndKind::Complete) {
        m_context.fleet.noteCachedPrompt(m_placement->server, m_prompt);
    }
    releaseServer();
    m_ticket.reset();
    if (m_request.stream && end.kind == backend::EngineEndKind::Complete) {
        m_context.metrics.openStreams.with().Decrement();
        m_exchange->finishStream();
    } else {
        if (end.kind == backend::EngineEndKind::Complete) {
            recordCacheUse(end.head);
            recordFirstOutput();
        }
        m_exchange->respondJson(end.head.status, end.body, {{"X-Request-Id", QByteArray::fromStdString(m_requestId)}});
    }
    m_context.metrics.requests.with({m_service->name, std::to_string(end.head.status == 0 ? 200 : end.head.status)}).Increment();
    m_context.timeline.record(EventKind::RequestAnswered, m_requestId);
}

bool CompletionCall::tryAcquireRetry(const backend::EngineEnd &end)
{
    if (m_exchange->isAnswered() || m_tried.size() >= MaxAttempts) {
        return false;
    }
    if (provesNotRun(end.kind) || end.kind == backend::EngineEndKind::WrongVersion) {
        return true;
    }
    return m_context.fleet.tryAcquireRetry(m_service->name, monotonicNow());
}

void CompletionCall::handleFailure(const backend::EngineEnd &end)
{
    m_mayHaveRun = m_mayHaveRun || !provesNotRun(end.kind);
    m_context.timeline.record(EventKind::AttemptFailed, m_requestId, m_placement->address + ": " + toText(end.kind));
    releaseServer();
    if (m_ticket && (end.kind == backend::EngineEndKind::Refused || end.kind == backend::EngineEndKind::Broken)) {
        m_ticket->onOverloaded(monotonicNow());
    }
    if (tryAcquireRetry(end)) {
        m_context.metrics.retries.with({m_service->name}).Increment();
        attempt();
        return;
    }
    m_ticket.reset();
    if (!m_exchange->isAnswered()) {
        ApiError error = m_mayHaveRun ? upstreamFailed("The backend server gave no complete response.")
                                      : unavailable("no_backend_server",
                                                    "No backend server accepted the request.",
                                                    std::max<std::chrono::milliseconds>(end.retryAfter, std::chrono::seconds(1)));
        fail(error);
        return;
    }
    // The response has started, so the error is sent as its last event and the closing "data: [DONE]" is left out.
    m_context.metrics.openStreams.with().Decrement();
    m_context.metrics.requests.with({m_service->name, "broken"}).Increment();
    m_exchange->writeChunk("data: " + toJson(upstreamFailed("The response ended before it was complete and could not be resumed.")) + "\n\n");
    m_exchange->finishStream();
    m_context.timeline.record(EventKind::RequestFailed, m_requestId, "broken");
}

} // namespace auburndrum::caller
