#include "forwardedrequest.h"

#include "auburndrum/decision/traffic/urgency.h"

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

// Several times the longest round trip between regions. A server that doesn't accept by then is silent, and nothing was sent to it.
constexpr milliseconds ConnectTimeout{400};
// An idle connection may have died without notice; a recently used one is less likely to have.
constexpr milliseconds MaxReuseAge{8000};
constexpr milliseconds MaxReuseAgeOnce{3000}; // for requests that can't be sent again
// The request's own timer ends it at its deadline. A call timeout at the same moment would report another reason by chance.
constexpr milliseconds CallTimeoutMargin{50};
// Callers that found all brittle servers without room return spread over the time in which places become free.
constexpr milliseconds ShortestRoomDelay{250};
constexpr milliseconds LongestRoomDelay{1000};
constexpr qint64 MaxResponseBytes = 64 * 1024 * 1024; // passed on in parts; what is held meanwhile has a limit of its own
} // namespace

ForwardedRequest::ForwardedRequest(GatewayState &state, std::shared_ptr<net::Exchange> exchange, Source source)
    : m_state(state)
    , m_exchange(std::move(exchange))
    , m_source(source)
{
}

ForwardedRequest::~ForwardedRequest()
{
    m_state.openRequests.erase(this);
}

void ForwardedRequest::start()
{
    m_startedAt = monotonicNow();
    m_metadata = m_state.wire.readRequest(m_exchange->head());
    m_record.id = m_metadata.id;
    m_record.resumedAttempt = m_metadata.resumedAttempt;
    if (m_source == Source::EntryVm) {
        const RelayedRequest relayed = readRelayedRequest(m_exchange->head().headers);
        m_record.relayedBy = relayed.by;
        m_deliveries = relayed.deliveries;
        if (!relayed.service.empty() && !relayed.softwareVersion.empty()) {
            m_origin = decision::StreamOrigin{relayed.service, relayed.softwareVersion};
        }
    }
    m_record.affinityKey = m_metadata.prompt ? decision::affinityKey(*m_metadata.prompt) : std::string();
    for (std::size_t n = 0; m_metadata.prompt && n + 1 < m_metadata.prompt->parts.size(); ++n) {
        m_record.parts.push_back(m_metadata.prompt->parts[n].id);
    }
    m_record.arrivedAt = m_exchange->arrivedAt();
    m_record.unreadFor = m_exchange->unreadFor();
    m_configuration = m_state.configuration;
    if (!m_configuration) {
        m_hasNoPath = m_source == Source::EntryVm; // another VM may serve it
        refuse(503, "no configuration yet");
        return;
    }
    m_record.configurationVersion = m_configuration->version;
    m_record.configurationAge = std::chrono::floor<milliseconds>(monotonicNow() - m_state.configurationAppliedAt);
    if (const auto completeAt = m_state.configurationCompleteAt ? m_state.configurationCompleteAt() : std::nullopt) {
        m_record.configurationUnreadFor = std::chrono::ceil<milliseconds>(suspendAwareNow() - *completeAt);
    }
    m_route = m_configuration->findRoute(m_metadata.host, m_exchange->path().toStdString());
    if (m_route == nullptr) {
        rejectUnknown(404, "no such route");
        return;
    }
    m_record.route = m_route->name;
    if (!authorise()) {
        rejectUnknown(401, "unknown API key");
        return;
    }
    const milliseconds callerTimeout = std::min(m_metadata.callerTimeout.value_or(m_route->timeout), m_route->timeout);
    m_record.callerTimeout = callerTimeout;
    m_deadline = m_record.arrivedAt + callerTimeout;
    if (!canEndBeforeStop()) {
        m_hasNoPath = m_source == Source::EntryVm; // another VM may serve it
        m_retryAfter = milliseconds(0); // there
        refuse(503, "the VM stops before the request could end");
        return;
    }
    m_state.openRequests.insert(this);

    const auto self = shared_from_this();
    m_exchange->setOnCallerDisconnected([self] {
        self->handleCallerGone();
    });
    m_exchange->setOnBodyPart([self](const QByteArray &part, bool last) {
        self->addToFingerprint(part, last);
        if (self->m_heldBody) {
            self->holdBody(part, last);
            return;
        }
        self->m_isBodyRepeatable = false;
        if (self->m_attempt) {
            self->m_attempt->call.writeBody(part, last);
            self->setBodyPaused(self->m_attempt->call.unsentBytes() > PauseAboveBytes);
        }
    });
    m_exchange->setOnBytesSent([self] {
        if (self->m_attempt && self->m_exchange->unsentBytes() <= PauseAboveBytes / 2) {
            self->setReadingPaused(false);
        }
    });
    connectTimers();
    m_deadlineTimer.start(std::max(milliseconds(0), timeLeft()));
    endWithStop();
    startFingerprint();
    if (isTakeUp()) {
        seekOrigin();
        return;
    }
    m_origin.reset();
    chooseService();
    sendFirst();
}

void ForwardedRequest::sendFirst()
{
    m_events.emplace(m_state.eventIdSteps[m_service]);
    m_events->setLastId(m_metadata.lastEventId);
    if (m_source == Source::Caller) { // a request that was passed on is counted where its caller sent it
        m_state.retryAllowance(m_service).countRequest(monotonicNow());
    }
    if (mustReadBody()) {
        m_heldBody.emplace();
        holdBody(m_exchange->body(), false);
        return;
    }
    tryNextServer();
}

void ForwardedRequest::chooseService()
{
    std::uint32_t total = 0;
    for (const decision::RouteTarget &it : m_route->targets) {
        total += it.weight;
    }
    std::uint32_t pick = total == 0 ? 0 : absl::Uniform<std::uint32_t>(m_state.random, 0, total);
    m_service = m_route->targets.front().service;
    for (const decision::RouteTarget &it : m_route->targets) {
        if (pick < it.weight) {
            m_service = it.service;
            break;
        }
        pick -= it.weight;
    }
    m_record.service = m_service;
}

void ForwardedRequest::tryNextServer()
{
    if (endIfCallerGone()) {
        return;
    }
    if (!m_isBodyRepeatable) {
        m_record.noServerReason = "a part of the body was passed on and not kept";
        concludeWithoutAnswer();
        return;
    }
    if (isKeptAway()) {
        concludeWithoutAnswer();
        return;
    }
    if (passOnIfCut()) {
        return;
    }
    decision::NoServerReason reason = decision::NoServerReason::NoneListed;
    const auto choice = m_state.chooser.choose(makeQuery(), monotonicNow(), reason);
    m_record.noServerReason = choice ? "" : decision::toText(reason);
    m_record.serversKnown = m_state.servers.findByService(m_service).size();
    if (!choice) {
        const bool isUnreachable = reason == decision::NoServerReason::AllFailing || (reason == decision::NoServerReason::AllTried && otherDeliveries() == 0);
        const bool isUnread = reason == decision::NoServerReason::NoneListed; // by a VM that has just started
        if ((isUnreachable || isUnread) && m_source == Source::EntryVm) {
            refuseWithoutPath();
            return;
        }
        if (isUnreachable && passOn()) {
            return;
        }
        if (reason == decision::NoServerReason::AllLimited) {
            m_retryAfter = promisePermit();
        } else if (reason == decision::NoServerReason::AllWithoutRoom) {
            m_retryAfter = milliseconds(absl::Uniform<std::int64_t>(m_state.random, ShortestRoomDelay.count(), LongestRoomDelay.count()));
        } else if (reason == decision::NoServerReason::AllResting) {
            m_retryAfter = soonestRestEnd();
        } else if (m_origin && !m_state.servers.hasSoftwareVersion(m_service, m_origin->softwareVersion)) {
            m_retryAfter.reset(); // the version has left the service
        }
        if (reason == decision::NoServerReason::AllTried) {
            concludeWithoutAnswer(); // a server that broke the stream off isn't asked for the rest
            return;
        }
        waitOrConclude();
        return;
    }
    if (m_metadata.prompt && isTooBusy(*choice)) {
        m_record.noServerReason = "all servers too busy";
        m_retryAfter = decision::retryDelay(choice->expectedWait, absl::Uniform<double>(m_state.random, 0, 1));
        waitOrConclude();
        return;
    }
    send(*choice);
}

decision::ServerQuery ForwardedRequest::makeQuery() const
{
    decision::ServerQuery query;
    query.service = m_service;
    query.prompt = m_metadata.prompt ? &*m_metadata.prompt : nullptr;
    query.organisation = m_organisation != nullptr && m_organisation->hasPrivateCache ? std::string_view(m_organisation->name) : std::string_view();
    query.spreadKey = m_metadata.id;
    query.softwareVersion = m_origin ? std::string_view(m_origin->softwareVersion) : std::string_view();
    query.triedServers = m_triedServers;
    query.suspendAwareTime = suspendAwareNow();
    if (m_metadata.prompt) {
        const auto weights = m_state.weights.find(m_metadata.prompt->model);
        if (weights != m_state.weights.end()) {
            query.namedWeights = &weights->second;
        }
    }
    return query;
}

net::HttpCall ForwardedRequest::makeCall(const decision::ServerChoice &choice) const
{
    ForwardMetadata metadata;
    metadata.serverId = choice.id;
    metadata.timeLeft = timeLeft();
    if (m_organisation != nullptr) {
        metadata.organisation = m_organisation->name;
    }
    if (m_metadata.prompt) {
        addCacheMetadata(choice, metadata);
    }
    metadata.lastEventId = lastEventId();
    if (m_metadata.prompt) {
        const std::uint32_t priority = m_organisation != nullptr && m_organisation->priority ? *m_organisation->priority : m_route->priority;
        const auto timeToTarget = m_record.arrivedAt + m_route->targetLatency - monotonicNow();
        metadata.urgency = decision::urgencyOf(priority, choice.expectedWait, std::chrono::floor<std::chrono::microseconds>(timeToTarget));
    }

    net::HttpCall call = makeCall(metadata.timeLeft);
    call.peer = net::parseAddress(choice.address).value_or(net::Address{});
    call.headers = withoutRelayFields(m_state.wire.forwardHeaders(m_exchange->head(), metadata));
    call.maxIdleTime = m_route->isRepeatable() ? MaxReuseAge : MaxReuseAgeOnce;
    call.connectTimeout = std::min(ConnectTimeout, metadata.timeLeft);
    return call;
}

net::HttpCall ForwardedRequest::makeCall(milliseconds timeLeft) const
{
    net::HttpCall call;
    call.maxBodyBytes = MaxResponseBytes;
    call.method = m_exchange->method();
    call.target = m_exchange->head().target;
    call.host = QByteArray::fromStdString(m_metadata.host);
    // A server repeats a request's id in its answers. One without an id goes over a connection that no other answer can come from.
    call.identity = QByteArray::fromStdString(m_metadata.id);
    call.freshConnection = m_metadata.id.empty();
    call.body = m_heldBody ? *m_heldBody : m_exchange->body();
    call.bodyFollows = !m_heldBody && !m_exchange->isBodyComplete();
    call.bodyLength = m_exchange->head().bodyLength;
    call.firstByteTimeout = timeLeft + CallTimeoutMargin;
    call.idleTimeout = timeLeft + CallTimeoutMargin; // silence is checkSilence()'s
    return call;
}

void ForwardedRequest::addCacheMetadata(const decision::ServerChoice &choice, ForwardMetadata &metadata) const
{
    metadata.cacheScope = choice.cacheScope;
    if (choice.weightVersion == 0) {
        return; // parts made with unknown weights are neither fetched nor stored
    }
    metadata.weightVersion = choice.weightVersion;
    metadata.partSources = choice.partSources;
    const auto &parts = m_metadata.prompt->parts;
    metadata.partTargets.resize(parts.size());
    // The last part is unique to this request; no other request will use it.
    for (std::size_t n = 0; n + 1 < parts.size(); ++n) {
        metadata.partTargets[n] = m_state.storedPrompts.chooseStore(choice.cacheScope, parts[n], choice.zone, monotonicNow());
    }
    const auto &stores = m_configuration->promptStores;
    metadata.hasManagedStores = stores.empty() || stores.front().isManaged;
}

void ForwardedRequest::send(const decision::ServerChoice &choice)
{
    const Instant now = monotonicNow();
    ++m_attemptCount;
    m_triedServers.push_back(choice.id);
    m_attempt.emplace();
    m_attempt->choice = choice;
    m_attempt->sentAtSuspendAware = suspendAwareNow();
    m_state.limits.onSent(choice.id, choice.startedAt, m_attempt->sentAtSuspendAware);
    m_attempt->ownRequests = m_state.chooser.ownRequests(choice.id) + 1;
    m_state.brittle.onSent(m_service, choice.id, choice.startedAt, m_attempt->ownRequests - 1, m_attempt->sentAtSuspendAware);
    if (const auto *server = m_state.servers.find(choice.id)) {
        m_attempt->incarnation = choice.id + '/' + std::to_string(server->server.startedAt.time_since_epoch().count());
        m_state.quarantine.onSent(m_crashDecision, m_attempt->sentAtSuspendAware);
    }
    m_state.chooser.onSent(choice, m_metadata.prompt ? &*m_metadata.prompt : nullptr, now);
    startCall(makeCall(choice));
    checkWeights();
}

void ForwardedRequest::startCall(const net::HttpCall &call)
{
    m_record.notSentAgain.clear();
    m_attempt->goesOn = !lastEventId().empty();
    m_isSilenceCertain = false;
    m_attempt->sentAt = monotonicNow();
    m_attempt->memoryId = m_state.responseMemory.add();
    const auto id = m_attempt->memoryId;
    m_state.giveUpResponse[id] = [this, id] {
        if (selectAttempt(id)) {
            m_state.chooser.recordFailure(m_attempt->choice.id, monotonicNow(), m_state.random);
            takeBack("too_large");
        }
    };
    const auto self = shared_from_this();
    net::HttpHooks hooks;
    hooks.isWanted = [self] {
        if (self->m_exchange->hasCallerClosed()) {
            return false;
        }
        self->setBodyPaused(false);
        return true;
    };
    hooks.isForCall = [self, id](const net::HttpHead &head) {
        return self->selectAttempt(id) && self->isOwnAnswer(head);
    };
    hooks.onHead = [self, id](const net::HttpHead &head) {
        const LoopWork::Span span(self->m_state.work, LoopWork::Kind::Answers);
        if (self->selectAttempt(id)) {
            self->handleHead(head);
        }
    };
    hooks.onBody = [self, id](const QByteArray &part) {
        const LoopWork::Span span(self->m_state.work, LoopWork::Kind::Answers);
        if (self->selectAttempt(id)) {
            self->handleBody(part);
        }
    };
    hooks.onBytesSent = [self] {
        if (self->m_attempt && self->m_attempt->call.unsentBytes() <= PauseAboveBytes / 2) {
            self->setBodyPaused(false);
        }
    };
    hooks.onDone = [self, id](const net::HttpResult &result) {
        const LoopWork::Span span(self->m_state.work, LoopWork::Kind::Answers);
        if (self->selectAttempt(id)) {
            self->handleDone(result);
        }
    };
    setBodyPaused(call.bodyFollows); // until the request is sent: what has not been read can still go elsewhere
    m_attempt->call = m_state.client.start(call, std::move(hooks));
    if (m_attempt->call.isSent()) {
        setBodyPaused(false);
    }
    if (m_route->isRepeatable() && m_route->maxServers > 1) {
        startSilenceTimer();
    }
}

milliseconds ForwardedRequest::timeLeft() const
{
    return std::chrono::floor<milliseconds>(m_deadline - monotonicNow());
}

} // namespace auburndrum::gateway
