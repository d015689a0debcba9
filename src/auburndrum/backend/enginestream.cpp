#include "auburndrum/backend/enginestream.h"

namespace auburndrum::backend {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

bool isRefusal(int status)
{
    return status == StatusUnavailable || status == StatusTooManyRequests;
}

QByteArray streamTarget(const QByteArray &attemptId)
{
    return "/v1/streams/" + attemptId;
}

} // namespace

std::shared_ptr<EngineStream> EngineStream::start(net::HttpClient &http, EngineAttempt attempt, EngineHooks hooks)
{
    std::shared_ptr<EngineStream> it(new EngineStream(http, std::move(attempt), std::move(hooks)));
    it->send();
    return it;
}

EngineStream::EngineStream(net::HttpClient &http, EngineAttempt attempt, EngineHooks hooks)
    : m_http(http)
    , m_attempt(std::move(attempt))
    , m_hooks(std::move(hooks))
{
}

net::HttpHooks EngineStream::callHooks()
{
    // The hooks of the running call keep this object alive.
    net::HttpHooks hooks;
    hooks.onHead = [self = shared_from_this()](const net::HttpHead &head) {
        self->handleHead(head);
    };
    hooks.onDone = [self = shared_from_this()](const net::HttpResult &result) {
        self->handleDone(result);
    };
    if (m_attempt.isStream) {
        hooks.onBody = [self = shared_from_this()](const QByteArray &part) {
            self->handleBody(part);
        };
    }
    return hooks;
}

void EngineStream::send()
{
    net::HttpCall call;
    call.peer = m_attempt.server;
    call.method = "POST";
    call.target = m_attempt.target;
    call.headers = {{"Content-Type", m_attempt.contentType},
                    {"X-Attempt-Id", m_attempt.attemptId},
                    {"X-Cache-Salt", m_attempt.organisation},
                    {"X-Priority", QByteArray::number(m_attempt.priority)}};
    if (!m_attempt.pieceKeys.isEmpty()) {
        call.headers.push_back({"X-Piece-Keys", m_attempt.pieceKeys});
    }
    if (!m_attempt.version.isEmpty()) {
        call.headers.push_back({"X-Expected-Version", m_attempt.version});
    }
    call.body = m_attempt.body;
    call.firstByteTimeout = m_attempt.firstByteTimeout;
    call.idleTimeout = m_attempt.gapTimeout;
    m_call = m_http.start(call, callHooks());
}

void EngineStream::resume()
{
    ++m_resumes;
    m_splitter.discardIncompleteEvent();
    m_isStreaming = false;
    m_eventsAtResume = m_splitter.events();
    net::HttpCall call;
    call.peer = m_attempt.server;
    call.target = streamTarget(m_attempt.attemptId) + "?from=" + QByteArray::number(static_cast<qulonglong>(m_splitter.events()));
    call.freshConnection = true;
    call.firstByteTimeout = m_attempt.gapTimeout;
    call.idleTimeout = m_attempt.gapTimeout;
    m_call = m_http.start(call, callHooks());
}

bool EngineStream::verify(const net::HttpHead &head)
{
    if (head.header("X-Attempt-Id") != m_attempt.attemptId) {
        end(EngineEndKind::WrongAttempt, {.head = head});
        m_call.cancel();
        return false;
    }
    if (!m_attempt.version.isEmpty() && head.header("X-Weight-Version") != m_attempt.version) {
        end(EngineEndKind::WrongVersion, {.head = head});
        m_call.cancel();
        return false;
    }
    return true;
}

void EngineStream::handleHead(const net::HttpHead &head)
{
    if (m_ended || head.status != StatusOk || !m_attempt.isStream) {
        return; // a response that is not a stream is checked once it is complete
    }
    if (!verify(head)) {
        return;
    }
    m_isStreaming = true;
    if (!std::exchange(m_accepted, true)) {
        m_hooks.onAccepted(head);
    }
}

void EngineStream::handleBody(const QByteArray &part)
{
    if (m_ended || !m_isStreaming) {
        return;
    }
    const QByteArray events = m_splitter.feed(part);
    if (!events.isEmpty()) {
        m_hooks.onEvents(events);
    }
    if (m_splitter.isDone()) {
        end(EngineEndKind::Complete);
    }
}

void EngineStream::handleDone(const net::HttpResult &result)
{
    if (m_ended) {
        return;
    }
    if (m_accepted) {
        resumeOrFail();
        return;
    }
    // Nothing tells a response that only the close of its connection ends from one that the server broke off.
    if (result.failure == net::HttpFailure::None && !result.endedByClose) {
        handleStatus(result);
        return;
    }
    end(result.sent ? EngineEndKind::Broken : EngineEndKind::NotSent, result);
}

void EngineStream::resumeOrFail()
{
    // Only consecutive resumes without a new event are limited: a long stream may lose many connections.
    const bool isFruitless = m_resumes > 0 && m_splitter.events() == m_eventsAtResume;
    m_fruitlessResumes = isFruitless ? m_fruitlessResumes + 1 : 0;
    if (m_fruitlessResumes >= m_attempt.maxResumes) {
        end(EngineEndKind::Broken);
        return;
    }
    resume();
}

void EngineStream::handleStatus(const net::HttpResult &result)
{
    const int status = result.head.status;
    if (result.head.header("X-Attempt-Id") != m_attempt.attemptId) { // a refusal of an earlier attempt says nothing about this one
        end(EngineEndKind::WrongAttempt, result);
        return;
    }
    if (status == StatusOk) {
        if (verify(result.head)) {
            end(m_attempt.isStream ? EngineEndKind::Broken : EngineEndKind::Complete, result);
        }
        return;
    }
    if (status == StatusConflict) {
        end(EngineEndKind::WrongVersion, result);
        return;
    }
    if (isRefusal(status)) {
        end(EngineEndKind::Refused, result);
        return;
    }
    end(status >= 400 && status < 500 ? EngineEndKind::Rejected : EngineEndKind::Broken, result);
}

void EngineStream::end(EngineEndKind kind, const net::HttpResult &result)
{
    if (std::exchange(m_ended, true)) {
        return;
    }
    EngineEnd it;
    it.kind = kind;
    it.head = result.head;
    it.body = result.body;
    it.resumes = m_resumes;
    it.isLeaving = result.head.header("X-Leaving") == "1";
    it.retryAfter = std::chrono::seconds(result.head.header("Retry-After").toInt());
    const EngineHooks hooks = std::exchange(m_hooks, {});
    hooks.onEnd(it);
}

void EngineStream::cancel()
{
    if (std::exchange(m_ended, true)) {
        return;
    }
    m_hooks = {};
    m_call.cancel();
    net::HttpCall call;
    call.peer = m_attempt.server;
    call.method = "DELETE";
    call.target = streamTarget(m_attempt.attemptId);
    m_http.start(call, {});
}

} // namespace auburndrum::backend
