#include "forwardedrequest.h"

#include "auburndrum/decision/traffic/urgency.h"

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

// Several times the longest way between regions; a server that doesn't answer by then is silent, and nothing was sent to it.
constexpr milliseconds ConnectTimeout{400};
// A kept connection may have died without notice: younger ones are surer.
constexpr milliseconds MaxReuseAge{8000};
constexpr milliseconds MaxReuseAgeOnce{3000}; // for requests that can't be sent again
// The request's own timer ends it at its deadline; a time limit of the call at the same moment would tell another reason by chance.
constexpr milliseconds BehindDeadline{50};
constexpr int SilenceInPauses = 4; // a stream counts as broken after so many of the longest pauses that are on time
constexpr int SilenceInTargets = 2; // a server may be silent, rather than busy, after so many target latencies without an answer
constexpr int QuietInTargets = 4; // and is taken to be when nobody here had an answer of it for so long; a busy one may answer one VM rarely

} // namespace

ForwardedRequest::ForwardedRequest(GatewayState &state, std::shared_ptr<net::Exchange> exchange)
    : m_state(state)
    , m_exchange(std::move(exchange))
{
}

void ForwardedRequest::start()
{
    m_facts = m_state.wire.readRequest(m_exchange->head());
    m_record.id = m_facts.id;
    m_record.promptKey = m_facts.prompt ? decision::affinityKey(*m_facts.prompt) : std::string();
    m_record.arrivedAt = m_exchange->arrivedAt();
    m_configuration = m_state.configuration;
    if (!m_configuration) {
        refuse(503, "no configuration yet");
        return;
    }
    m_record.configuration = m_configuration->version;
    m_record.configurationAge = std::chrono::floor<milliseconds>(monotonicNow() - m_state.configurationAt);
    m_route = m_configuration->findRoute(m_facts.host, m_exchange->path().toStdString());
    if (m_route == nullptr) {
        refuse(404, "no such route");
        return;
    }
    m_record.route = m_route->name;
    if (!authorise()) {
        refuse(401, "unknown API key");
        return;
    }
    chooseService();
    const milliseconds patience = std::min(m_facts.patience.value_or(m_route->timeout), m_route->timeout);
    m_record.patience = patience;
    m_deadline = m_record.arrivedAt + patience;
    m_lastEventId = m_facts.lastEventId;
    m_state.retryAllowance(m_service).countRequest(monotonicNow());

    const auto self = shared_from_this();
    m_exchange->setOnCallerGone([self] {
        self->handleCallerGone();
    });
    m_exchange->setOnBodyPart([self](const QByteArray &part, bool last) {
        self->m_bodyRepeatable = false;
        if (self->m_attempt) {
            self->m_attempt->call.writeBody(part, last);
            self->m_exchange->setBodyPaused(self->m_attempt->call.unsentBytes() > PauseAboveBytes);
        }
    });
    m_exchange->setOnBytesSent([self] {
        if (self->m_attempt && self->m_exchange->unsentBytes() <= PauseAboveBytes / 2) {
            self->m_attempt->call.setReadingPaused(false);
        }
    });
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
        handleTimeout();
    });
    m_timer.start(std::max(milliseconds(0), timeLeft()));
    m_silenceCheck.setSingleShot(true);
    QObject::connect(&m_silenceCheck, &QTimer::timeout, &m_silenceCheck, [this] {
        checkSilence();
    });
    attempt();
}

bool ForwardedRequest::authorise()
{
    if (!m_configuration->requiresApiKeys || m_route->isPublic) {
        return true;
    }
    m_organisation = m_configuration->findOrganisation(m_facts.apiKey);
    if (m_organisation != nullptr) {
        m_record.organisation = m_organisation->name;
    }
    return m_organisation != nullptr;
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

void ForwardedRequest::attempt()
{
    decision::ServerQuery query;
    query.service = m_service;
    query.prompt = m_facts.prompt ? &*m_facts.prompt : nullptr;
    query.organisation = m_organisation != nullptr && m_organisation->hasPrivateCache ? std::string_view(m_organisation->name) : std::string_view();
    query.spreadKey = m_facts.id;
    query.triedServers = m_tried;
    if (m_facts.prompt) {
        const auto weights = m_state.weights.find(m_facts.prompt->model);
        if (weights != m_state.weights.end()) {
            query.namedWeights = &weights->second;
        }
    }
    decision::NoServerReason reason = decision::NoServerReason::NoneListed;
    const auto choice = m_state.chooser.choose(query, monotonicNow(), reason);
    m_record.noServer = choice ? "" : decision::toText(reason);
    m_record.serversKnown = m_state.servers.findByService(m_service).size();
    if (!choice) {
        concludeWithoutAnswer();
        return;
    }
    if (m_facts.prompt && !decision::canStartInTime(choice->expectedWait, std::chrono::floor<std::chrono::microseconds>(m_deadline - monotonicNow()))) {
        m_record.noServer = "all servers too busy";
        m_returnAfter = decision::retryDelay(choice->expectedWait, absl::Uniform<double>(m_state.random, 0, 1));
        concludeWithoutAnswer();
        return;
    }
    send(*choice);
}

net::HttpCall ForwardedRequest::makeCall(const decision::ServerChoice &choice) const
{
    ForwardFacts facts;
    facts.serverId = choice.id;
    facts.timeLeft = timeLeft();
    if (m_organisation != nullptr) {
        facts.organisation = m_organisation->name;
    }
    if (m_facts.prompt) {
        addCacheFacts(choice, facts);
    }
    facts.lastEventId = m_lastEventId;
    if (m_facts.prompt) {
        const std::uint32_t priority = m_organisation != nullptr && m_organisation->priority ? *m_organisation->priority : m_route->priority;
        const auto toTarget = m_record.arrivedAt + m_route->targetLatency - monotonicNow();
        facts.urgency = decision::urgencyOf(priority, choice.expectedWait, std::chrono::floor<std::chrono::microseconds>(toTarget));
    }

    net::HttpCall call;
    call.peer = net::parseAddress(choice.address).value_or(net::Address{});
    call.method = m_exchange->method();
    call.target = m_exchange->head().target;
    call.host = QByteArray::fromStdString(m_facts.host);
    call.headers = m_state.wire.forwardHeaders(m_exchange->head(), facts);
    call.body = m_exchange->body();
    call.bodyFollows = !m_exchange->isBodyComplete();
    call.bodyLength = m_exchange->head().bodyLength;
    call.maxReuseAge = m_route->isRepeatable() ? MaxReuseAge : MaxReuseAgeOnce;
    call.connectTimeout = std::min(ConnectTimeout, facts.timeLeft);
    call.firstByteTimeout = facts.timeLeft + BehindDeadline;
    call.idleTimeout = facts.timeLeft + BehindDeadline;
    if (m_route->isResumable && m_arrivals + 1 < m_route->maxServers) {
        call.idleTimeout = std::min(facts.timeLeft, m_route->maxEventGap * SilenceInPauses);
    }
    return call;
}

void ForwardedRequest::addCacheFacts(const decision::ServerChoice &choice, ForwardFacts &facts) const
{
    facts.cacheScope = choice.cacheScope;
    if (choice.weightVersion == 0) {
        return; // parts made with unknown weights are neither fetched nor put anywhere
    }
    facts.weights = choice.weightVersion;
    facts.partSources = choice.partSources;
    const auto &parts = m_facts.prompt->parts;
    facts.partTargets.resize(parts.size());
    // The last part is the request's own; nobody else will ask for it.
    for (std::size_t n = 0; n + 1 < parts.size(); ++n) {
        facts.partTargets[n] = m_state.kept.chooseStore(choice.cacheScope, parts[n], choice.zone, monotonicNow());
    }
    const auto &stores = m_configuration->promptStores;
    facts.hasManagedStores = stores.empty() || stores.front().isManaged;
}

void ForwardedRequest::send(const decision::ServerChoice &choice)
{
    const Instant now = monotonicNow();
    ++m_sends;
    m_tried.push_back(choice.id);
    m_attempt.emplace();
    m_attempt->choice = choice;
    m_attempt->sentAt = now;
    m_state.chooser.onSent(choice, m_facts.prompt ? &*m_facts.prompt : nullptr, now);
    const auto self = shared_from_this();
    net::HttpHooks hooks;
    hooks.isForCall = [self](const net::HttpHead &head) {
        const AnswerFacts facts = self->m_state.wire.readAnswer(head);
        return facts.requestId.empty() || facts.requestId == self->m_facts.id;
    };
    hooks.onHead = [self](const net::HttpHead &head) {
        self->handleHead(head);
    };
    hooks.onBody = [self](const QByteArray &part) {
        self->handleBody(part);
    };
    hooks.onDone = [self](const net::HttpResult &result) {
        self->handleDone(result);
    };
    m_attempt->call = m_state.client.start(makeCall(choice), std::move(hooks));
    if (m_route->isRepeatable() && m_route->maxServers > 1) {
        m_silenceCheck.start(m_route->targetLatency * SilenceInTargets);
    }
}

void ForwardedRequest::checkSilence()
{
    if (m_concluded || !m_attempt || m_attempt->head || m_arrivals + 1 >= m_route->maxServers) {
        return;
    }
    // A server that answers others is busy; asking another one as well would only add to the load.
    const auto answeredAt = m_state.chooser.lastAnswerAt(m_attempt->choice.id);
    if (answeredAt && monotonicNow() - *answeredAt < m_route->targetLatency * QuietInTargets) {
        m_silenceCheck.start(m_route->targetLatency / 2);
        return;
    }
    const auto self = shared_from_this();
    net::HttpCallHandle call = m_attempt->call;
    m_state.chooser.recordFailure(m_attempt->choice.id, monotonicNow(), m_state.random);
    leaveServer("silent");
    call.cancel();
    retryOrConclude(true, Reached::Server);
}

void ForwardedRequest::handleTimeout()
{
    if (m_concluded) {
        return;
    }
    const auto self = shared_from_this();
    if (m_attempt) {
        m_mayHaveRun = true;
        net::HttpCallHandle call = m_attempt->call;
        leaveServer("out_of_time");
        call.cancel();
    }
    if (m_streaming) {
        cutStream("out of time");
        return;
    }
    refuse(m_mayHaveRun ? 504 : 503, "out of time");
}

void ForwardedRequest::handleCallerGone()
{
    if (m_concluded) {
        return;
    }
    if (m_attempt) {
        net::HttpCallHandle call = m_attempt->call;
        leaveServer("caller_gone");
        call.cancel();
    }
    conclude(Outcome::CallerGone, 0, "the caller closed its connection");
}

milliseconds ForwardedRequest::timeLeft() const
{
    return std::chrono::floor<milliseconds>(m_deadline - monotonicNow());
}

} // namespace auburndrum::gateway
