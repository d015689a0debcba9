#include "completioncall.h"

#include "auburndrum/base/randomid.h"

namespace auburndrum::caller {

namespace {

constexpr int MaxQueueWaitPercent = 60; // of the first-token deadline; the rest is left for the backend server
constexpr int HealthyWaitDivisor = 5; // a first token within a fifth of the deadline is no sign of overload
constexpr qint64 MaxUnsentBytes = 4 * 1024 * 1024; // a caller that leaves more unread is disconnected

QByteArray toBytes(const std::string &text)
{
    return QByteArray::fromStdString(text);
}

QByteArray targetOf(CompletionKind kind)
{
    return kind == CompletionKind::Text ? "/v1/completions" : "/v1/chat/completions";
}

} // namespace

CompletionCall::CompletionCall(CallerContext &context,
                               std::shared_ptr<net::Exchange> exchange,
                               CompletionKind kind,
                               std::string organisation,
                               std::string requestId,
                               std::shared_ptr<const Directory> directory)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_kind(kind)
    , m_organisation(std::move(organisation))
    , m_requestId(std::move(requestId))
    , m_directory(std::move(directory))
    , m_arrived(monotonicNow())
{
}

std::chrono::nanoseconds CompletionCall::sinceArrival() const
{
    return monotonicNow() - m_arrived;
}

void CompletionCall::start()
{
    m_exchange->setOnCallerDisconnected([self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->handleCallerGone();
        }
    });
    m_context.runInPool(
        [self = shared_from_this()] {
            self->prepare();
        },
        [self = shared_from_this()] {
            self->onPrepared();
        });
}

// Runs in a worker thread: the event loop accesses no member of this call until onPrepared().
void CompletionCall::prepare()
{
    const QByteArray &body = m_exchange->body();
    auto request = parseCompletion(m_kind, std::string_view(body.constData(), static_cast<std::size_t>(body.size())));
    if (!request) {
        m_error = std::move(request.error());
        return;
    }
    m_request = std::move(request.value());
    m_service = m_directory->model(m_request.model);
    m_grant = m_service == nullptr ? nullptr : grantOf(*m_service, m_organisation);
    if (m_grant == nullptr) {
        // An unknown model and a missing grant get the same response, so that organisations can't discover each other's services.
        m_error = ApiError{
            .status = 404, .message = "The model does not exist or this organisation has no access to it.", .param = "model", .code = "model_not_found"};
        return;
    }
    m_prompt = m_context.fleet.prepare(m_organisation, m_service->weightVersion, m_request.prompt, m_service->pieceTokens);
    m_request.prompt.clear();
    m_request.prompt.shrink_to_fit();
}

void CompletionCall::onPrepared()
{
    if (!m_exchange->isOpen()) {
        return;
    }
    if (m_error) {
        fail(*m_error);
        return;
    }
    m_context.fleet.recordFirstAttempt(m_service->name);
    enterGate();
}

void CompletionCall::enterGate()
{
    AdmissionRequest request;
    request.organisation = m_organisation;
    request.cost = std::max<double>(1, m_prompt.pieces.promptTokens);
    request.deadline = m_arrived + m_service->firstTokenDeadline * MaxQueueWaitPercent / 100;
    request.allowedWait = m_service->firstTokenDeadline / HealthyWaitDivisor;
    AdmissionHooks hooks;
    hooks.onAdmitted = [self = shared_from_this()](std::unique_ptr<AdmissionTicket> &ticket) {
        return self->onAdmitted(ticket);
    };
    hooks.onRefused = [self = shared_from_this()](std::chrono::milliseconds retryAfter) {
        self->m_queueNumber.reset();
        self->refuseRoute({decision::RouteError::Overloaded, retryAfter});
    };
    m_queueNumber = m_context.gate.enter(*m_service, request, std::move(hooks), monotonicNow());
    if (m_queueNumber) {
        m_context.timeline.record(EventKind::RequestQueued, m_requestId);
    }
}

bool CompletionCall::onAdmitted(std::unique_ptr<AdmissionTicket> &ticket)
{
    const auto placement = place();
    if (!placement && placement.error().reason == decision::RouteError::ServersBusy) {
        return false; // the request waits in the fair queue, which orders organisations, instead of in a server's queue
    }
    m_queueNumber.reset();
    m_ticket = std::move(ticket);
    if (placement) {
        send(placement.value());
    } else {
        refuseRoute(placement.error());
    }
    return true;
}

decision::RouteResult<decision::Placement> CompletionCall::place()
{
    decision::RouteRequest route;
    route.service = m_service->name;
    route.weightVersion = m_service->weightVersion;
    route.pieceKeys = m_prompt.pieces.keys;
    route.promptTokens = m_prompt.pieces.promptTokens;
    route.pieceTokens = m_service->pieceTokens;
    route.firstTokenTimeout = m_service->firstTokenDeadline - sinceArrival();
    route.costWeights = m_service->routingCostWeights;
    route.triedServers = m_tried;
    return m_context.fleet.place(route, monotonicNow());
}

void CompletionCall::attempt()
{
    const auto placement = place();
    if (!placement) {
        refuseRoute(placement.error());
        return;
    }
    send(placement.value());
}

void CompletionCall::refuseRoute(const decision::RouteRefusal &refusal)
{
    ApiError error = refusal.reason == decision::RouteError::Overloaded
        ? unavailable("overloaded", "The first token is predicted to miss the service's deadline.", refusal.retryAfter)
        : unavailable("no_backend_server", "No backend server can accept this request now.", refusal.retryAfter);
    error.run = m_mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
    m_context.metrics.refusals.with({m_service->name, error.code}).Increment();
    m_context.timeline.record(EventKind::RequestRefused, m_requestId, error.code);
    fail(error);
}

void CompletionCall::send(const decision::Placement &placement)
{
    if (m_exchange->hasCallerClosed()) {
        const auto exchange = m_exchange;
        handleCallerGone();
        exchange->abort();
        return;
    }
    m_placement = placement;
    m_tried.push_back(placement.server);
    backend::EngineAttempt it;
    it.server = net::parseAddress(placement.address).value_or(net::Address{});
    it.target = targetOf(m_kind);
    it.body = m_exchange->body();
    it.attemptId = toBytes(randomId());
    it.organisation = toBytes(m_organisation);
    it.pieceKeys = toBytes(m_prompt.keyList);
    it.version = toBytes(m_service->weightVersion);
    it.priority = m_grant->priority;
    it.isStream = m_request.stream;
    it.firstByteTimeout = m_request.stream ? m_service->firstTokenDeadline : m_service->requestTimeout;
    it.gapTimeout = m_service->tokenGapLimit;
    m_context.fleet.onSent(placement.server, placement.recomputeTokens, monotonicNow());
    m_context.timeline.record(EventKind::AttemptSent, m_requestId, placement.address);

    backend::EngineHooks hooks;
    hooks.onAccepted = [self = shared_from_this()](const net::HttpHead &head) {
        self->handleAccepted(head);
    };
    hooks.onEvents = [self = shared_from_this()](const QByteArray &events) {
        self->handleEvents(events);
    };
    hooks.onEnd = [self = shared_from_this()](const backend::EngineEnd &end) {
        self->handleEnd(end);
    };
    m_stream = backend::EngineStream::start(m_context.http, std::move(it), std::move(hooks));
}

void CompletionCall::handleAccepted(const net::HttpHead &head)
{
    recordCacheUse(head);
    m_exchange->startStream(200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", toBytes(m_requestId)}});
    m_context.metrics.openStreams.with().Increment();
}

void CompletionCall::handleEvents(const QByteArray &events)
{
    if (!m_hasOutput) {
        recordFirstOutput();
    }
    m_exchange->writeChunk(events);
    if (m_exchange->unsentBytes() > MaxUnsentBytes) {
        m_context.timeline.record(EventKind::RequestFailed, m_requestId, "caller reads too slowly");
        const auto exchange = m_exchange;
        handleCallerGone();
        exchange->abort();
    }
}

void CompletionCall::recordFirstOutput()
{
    m_hasOutput = true;
    if (m_ticket) {
        m_ticket->onFirstOutput(monotonicNow());
    }
    const auto seconds = std::chrono::duration<double>(sinceArrival()).count();
    m_context.metrics.firstToken.with({m_service->name}).Observe(seconds);
    m_context.timeline.record(EventKind::FirstOutput, m_requestId);
}

void CompletionCall::recordCacheUse(const net::HttpHead &head)
{
    const double cached = head.header("X-Cached-Tokens").toDouble();
    const double all = std::max<double>(m_prompt.pieces.promptTokens, 1);
    const double computed = std::max(0.0, all - cached);
    m_context.metrics.recomputedShare.with({m_service->name}).Observe(computed / all);
    m_context.metrics.promptTokens.with({m_service->name, "cached"}).Increment(cached);
    m_context.metrics.promptTokens.with({m_service->name, "computed"}).Increment(computed);
}

void CompletionCall::releaseServer()
{
    if (m_placement) {
        m_context.fleet.onFinished(m_placement->server);
        m_placement.reset();
    }
    m_stream.reset();
}

void CompletionCall::handleCallerGone()
{
    if (m_exchange->isAnswered() && m_stream) {
        m_context.metrics.openStreams.with().Decrement();
    }
    if (m_stream) {
        m_stream->cancel();
    }
    releaseServer();
    m_ticket.reset();
    if (m_queueNumber) {
        m_context.gate.cancel(m_service->name, m_organisation, *m_queueNumber);
        m_queueNumber.reset();
    }
    m_context.timeline.record(EventKind::CallerGone, m_requestId);
}

void CompletionCall::fail(const ApiError &error)
{
    m_ticket.reset();
    const std::string service = m_service == nullptr ? "unknown" : m_service->name;
    m_context.metrics.requests.with({service, std::to_string(error.status)}).Increment();
    refuse(*m_exchange, error);
}

} // namespace auburndrum::caller
