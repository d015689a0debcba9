#include "servicecall.h"

#include "auburndrum/base/randomid.h"
#include "auburndrum/decision/idempotencykey.h"
#include "outcomelookup.h"

#include <QCryptographicHash>

namespace auburndrum::caller {

namespace {

constexpr std::size_t MaxAttempts = 3;
constexpr int HealthyWaitDivisor = 5; // a response within a fifth of the timeout is no sign of overload
constexpr std::chrono::milliseconds RetryAfter{1000};

std::string toString(const QByteArray &bytes)
{
    return bytes.toStdString();
}

std::string fingerprintOf(const QByteArray &target, const net::Exchange &exchange)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    hash.addData(exchange.method());
    hash.addData(QByteArray("\n") + target + "\n");
    hash.addData(exchange.body());
    return hash.result().toHex().toStdString();
}

ApiError outcomeUnknown(std::chrono::milliseconds retryAfter)
{
    return {.status = 409,
            .message = "The call may have run and its outcome is not known yet. Send it again with the same Idempotency-Key to ask for the outcome.",
            .type = "conflict_error",
            .param = "Idempotency-Key",
            .code = "outcome_unknown",
            .run = RunState::MayHaveRun,
            .retryAfter = retryAfter};
}

} // namespace

ServiceCall::ServiceCall(CallerContext &context,
                         std::shared_ptr<net::Exchange> exchange,
                         ServiceRequest request,
                         std::shared_ptr<const Directory> directory,
                         const decision::ServiceDocument &service)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_directory(std::move(directory))
    , m_service(service)
    , m_arrived(monotonicNow())
{
}

bool ServiceCall::isKeyed() const
{
    return !m_service.repeatable && !m_request.idempotencyKey.isEmpty();
}

void ServiceCall::start()
{
    AdmissionRequest request;
    request.organisation = m_request.organisation;
    request.deadline = m_arrived + m_service.requestTimeout;
    request.allowedWait = m_service.requestTimeout / HealthyWaitDivisor;
    AdmissionHooks hooks;
    hooks.onAdmitted = [self = shared_from_this()](std::unique_ptr<AdmissionTicket> &ticket) {
        self->onAdmitted(std::move(ticket));
        return true;
    };
    hooks.onRefused = [self = shared_from_this()](std::chrono::milliseconds retryAfter) {
        self->answer({decision::AnswerKind::NotRun, std::nullopt, retryAfter});
    };
    const auto waiting = m_context.gate.enter(m_service, request, std::move(hooks), monotonicNow());
    if (!waiting) {
        return;
    }
    m_exchange->setOnCallerDisconnected([self = weak_from_this(), number = *waiting] {
        if (const auto it = self.lock()) {
            it->m_context.gate.cancel(it->m_service.name, it->m_request.organisation, number);
        }
    });
}

void ServiceCall::onAdmitted(std::unique_ptr<AdmissionTicket> ticket)
{
    m_ticket = std::move(ticket);
    m_exchange->setOnCallerDisconnected({});
    if (isKeyed()) {
        startKeyed();
        return;
    }
    startUnkeyed();
}

void ServiceCall::startKeyed()
{
    m_claim.key = {m_service.name, m_request.organisation, toString(m_request.idempotencyKey)};
    m_claim.fingerprint = fingerprintOf(m_request.target, *m_exchange);
    m_claim.incarnation = m_request.incarnation;
    m_claim.nonce = m_request.requestId;
    m_claim.deadline = wallNow() + m_service.requestTimeout;
    decision::ClaimCallOptions options;
    options.claim = m_claim;
    options.deadline = m_arrived + m_service.requestTimeout;
    options.answerTimeout = m_service.requestTimeout;
    options.retryAfter = RetryAfter;
    options.maxAttempts = MaxAttempts;
    options.isKeyExpired = decision::isKeyExpired(m_claim.key.key, m_context.claims.deduplicationWindow(), wallNow());
    options.hasLookup = !m_service.lookupPath.empty();
    m_exchange->setOnCallerDisconnected([self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->m_context.claims.onCallerDisconnected(it->m_claim.nonce);
        }
    });
    // The hooks keep this call alive until the claim is settled, even if the caller disconnects.
    platform::ClaimRunHooks hooks;
    hooks.dispatch = [self = shared_from_this()](std::uint32_t) {
        self->attempt();
    };
    hooks.lookup = [self = shared_from_this()] {
        self->lookUp();
    };
    hooks.answer = [self = shared_from_this()](const decision::CallAnswer &it) {
        self->answer(it);
    };
    m_context.claims.run(std::move(options), std::move(hooks));
}

void ServiceCall::startUnkeyed()
{
    m_context.fleet.recordFirstAttempt(m_service.name);
    m_exchange->setOnCallerDisconnected([self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->handleCallerGone();
        }
    });
    attempt();
}

void ServiceCall::handleCallerGone()
{
    const auto self = shared_from_this();
    m_isCallerGone = true;
    m_ticket.reset();
    m_context.timeline.record(EventKind::CallerGone, m_request.requestId);
    m_call.cancel();
}

decision::RouteResult<decision::Placement> ServiceCall::place()
{
    decision::RouteRequest route;
    route.service = m_service.name;
    route.firstTokenTimeout = m_service.requestTimeout;
    route.triedServers = m_tried;
    return m_context.fleet.place(route, monotonicNow());
}

void ServiceCall::attempt()
{
    if (!isKeyed() && m_exchange->hasCallerClosed()) { // a keyed call runs on: its caller may ask for the outcome later
        handleCallerGone();
        m_exchange->abort();
        return;
    }
    const auto placement = place();
    if (!placement) {
        // No byte of this attempt was sent, so it was not run.
        if (isKeyed()) {
            m_context.claims.onDispatchRefused(m_claim.nonce);
            return;
        }
        m_context.metrics.refusals.with({m_service.name, "no_backend_server"}).Increment();
        fail(unavailable("no_backend_server", "No backend server can accept this call now.", placement.error().retryAfter));
        return;
    }
    m_placement = placement.value();
    m_tried.push_back(m_placement->server);
    backend::PlainAttempt it;
    it.server = net::parseAddress(m_placement->address).value_or(net::Address{});
    it.method = m_exchange->method();
    it.target = m_request.target;
    it.contentType = m_exchange->header("Content-Type");
    it.body = m_exchange->body();
    it.attemptId = QByteArray::fromStdString(randomId());
    it.organisation = QByteArray::fromStdString(m_request.organisation);
    it.idempotencyKey = m_request.idempotencyKey;
    it.timeout = m_service.requestTimeout;
    m_context.fleet.onSent(m_placement->server, 1, monotonicNow());
    m_context.timeline.record(EventKind::AttemptSent, m_request.requestId, m_placement->address);
    m_call = backend::sendPlain(m_context.http, it, [self = shared_from_this()](const backend::PlainEnd &end) {
        self->handleEnd(end);
    });
}

void ServiceCall::handleEnd(const backend::PlainEnd &end)
{
    const decision::ServerId server = m_placement->server;
    m_context.fleet.onFinished(server);
    if (m_isCallerGone) {
        m_placement.reset();
        return;
    }
    switch (end.kind) {
    case backend::PlainEndKind::Answered:
        m_context.fleet.recordSuccess(server);
        break;
    case backend::PlainEndKind::Refused:
        m_context.onLeavingServer(m_placement->address, end.head.header("X-Incarnation").toULongLong());
        break;
    case backend::PlainEndKind::WrongAttempt:
        m_context.metrics.mismatchedAnswers.with({m_service.name}).Increment();
        m_context.fleet.recordFailure(server, monotonicNow());
        break;
    case backend::PlainEndKind::NotSent:
    case backend::PlainEndKind::Broken:
        m_context.fleet.recordFailure(server, monotonicNow());
        break;
    }
    if (end.kind != backend::PlainEndKind::Answered) {
        m_context.timeline.record(EventKind::AttemptFailed, m_request.requestId, m_placement->address);
    }
    m_placement.reset();
    if (m_ticket && end.kind == backend::PlainEndKind::Answered) {
        m_ticket->onFirstOutput(monotonicNow());
    }
    if (isKeyed()) {
        handleKeyedEnd(end);
        return;
    }
    handleUnkeyedEnd(end);
}

void ServiceCall::handleKeyedEnd(const backend::PlainEnd &end)
{
    switch (end.kind) {
    case backend::PlainEndKind::Answered:
        m_context.claims.onAnswer(m_claim.nonce, outcomeOf(end));
        break;
    case backend::PlainEndKind::Refused:
    case backend::PlainEndKind::NotSent:
        m_context.claims.onDispatchRefused(m_claim.nonce);
        break;
    case backend::PlainEndKind::WrongAttempt:
    case backend::PlainEndKind::Broken:
        m_context.claims.onDispatchInterrupted(m_claim.nonce);
        break;
    }
}

void ServiceCall::handleUnkeyedEnd(const backend::PlainEnd &end)
{
    if (end.kind == backend::PlainEndKind::Answered) {
        respond(end.head.status, end.head.header("Content-Type"), end.body, false);
        return;
    }
    const bool surelyNotRun = end.kind == backend::PlainEndKind::NotSent || end.kind == backend::PlainEndKind::Refused;
    const bool hasAttempts = m_tried.size() < MaxAttempts && m_exchange->isOpen();
    if (hasAttempts && (surelyNotRun || (m_service.repeatable && m_context.fleet.tryAcquireRetry(m_service.name, monotonicNow())))) {
        m_context.metrics.retries.with({m_service.name}).Increment();
        attempt();
        return;
    }
    if (surelyNotRun) {
        fail(unavailable("no_backend_server", "No backend server accepted the call.", RetryAfter));
        return;
    }
    fail(upstreamFailed("The call was sent but no complete response arrived. It may have run."));
}

decision::Outcome ServiceCall::outcomeOf(const backend::PlainEnd &end) const
{
    decision::Outcome it;
    it.key = m_claim.key;
    it.nonce = m_claim.nonce;
    it.status = static_cast<std::uint32_t>(end.head.status);
    it.contentType = toString(end.head.header("Content-Type"));
    it.body = toString(end.body);
    return it;
}

void ServiceCall::lookUp()
{
    lookUpOutcome(m_context, m_claim.key, m_claim.nonce, m_service.lookupPath, [self = shared_from_this()](const std::optional<decision::Outcome> &found) {
        self->m_context.claims.onLookupFinished(self->m_claim.nonce, found);
    });
}

void ServiceCall::answer(const decision::CallAnswer &answer)
{
    m_ticket.reset();
    switch (answer.kind) {
    case decision::AnswerKind::Fresh:
    case decision::AnswerKind::Replay:
        respond(static_cast<int>(answer.outcome->status),
                QByteArray::fromStdString(answer.outcome->contentType),
                QByteArray::fromStdString(answer.outcome->body),
                answer.kind == decision::AnswerKind::Replay);
        return;
    case decision::AnswerKind::NotRun:
        m_context.metrics.refusals.with({m_service.name, "not_run"}).Increment();
        fail(unavailable("not_run", "The call was not run and will not be. It may be sent again.", answer.retryAfter));
        return;
    case decision::AnswerKind::MayHaveRun:
        fail(outcomeUnknown(std::max(answer.retryAfter, RetryAfter)));
        return;
    case decision::AnswerKind::KeyReused:
        fail({.status = 422, .message = "This Idempotency-Key was used with another call.", .param = "Idempotency-Key", .code = "key_reused"});
        return;
    case decision::AnswerKind::KeyExpired:
        fail({.status = 409,
              .message = "This Idempotency-Key is older than the deduplication window. Its outcome is not known.",
              .type = "conflict_error",
              .param = "Idempotency-Key",
              .code = "key_expired",
              .run = RunState::MayHaveRun});
        return;
    }
}

void ServiceCall::respond(int status, const QByteArray &contentType, const QByteArray &body, bool isReplay)
{
    std::vector<net::Header> headers = {{"Content-Type", contentType.isEmpty() ? QByteArray("application/octet-stream") : contentType},
                                        {"X-Request-Id", QByteArray::fromStdString(m_request.requestId)}};
    if (isReplay) {
        headers.push_back({"Idempotent-Replayed", "true"});
    }
    m_ticket.reset();
    m_context.metrics.requests.with({m_service.name, std::to_string(status)}).Increment();
    m_context.timeline.record(EventKind::RequestAnswered, m_request.requestId);
    m_exchange->respond(status, headers, body);
}

void ServiceCall::fail(const ApiError &error)
{
    m_ticket.reset();
    m_context.metrics.requests.with({m_service.name, std::to_string(error.status)}).Increment();
    m_context.timeline.record(EventKind::RequestRefused, m_request.requestId, error.code);
    refuse(*m_exchange, error);
}

} // namespace auburndrum::caller
