#include "auburndrum/base/jsonreader.h"
#include "auburndrum/gateway/recordstore.h"
#include "forwardedrequest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// How a request reaches the servers through another entry VM while this one has no path to them.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t MaxPeers = 3; // VMs that one request is passed on to, should the first ones have no path either
constexpr milliseconds PeerConnectTimeout{250}; // many times the round trip between regions
constexpr milliseconds NoPathRetryDelay{1000}; // until a path may be there again
/// Whether a status says that nothing answers calls of this kind there.
bool isUnknownTarget(int status)
{
    return status == 404 || status == 405 || status == 501;
}

constexpr milliseconds SkewRetryDelay{500}; // until the other VM has the configuration that this one has
constexpr int MaxReasonLength = 200; // characters of another VM's refusal, for the log

std::string refusalReason(const QByteArray &body)
{
    const nlohmann::json object = parseJsonOrDiscard(toView(body));
    const auto reason = object.is_object() ? object.find("error") : object.end();
    const QString text = reason != object.end() && reason->is_string() ? QString::fromStdString(reason->get<std::string>()) : QString();
    return text.left(MaxReasonLength).toStdString();
}

} // namespace

bool ForwardedRequest::passOnIfCut()
{
    const Instant now = suspendAwareNow();
    if (!m_state.serverPath.isCut()) {
        return false;
    }
    if (m_source == Source::EntryVm) {
        refuseWithoutPath();
        return true;
    }
    if (m_state.serverPath.takeTrial(m_route->isRepeatable(), now)) {
        return false;
    }
    return passOn();
}

std::optional<decision::EntryVm> ForwardedRequest::chooseVm() const
{
    if (m_source == Source::EntryVm || m_triedVms.size() >= MaxPeers || !m_state.otherVms) {
        return std::nullopt;
    }
    return m_state.peerRoutes.choose(m_service, m_state.otherVms(), m_triedVms, suspendAwareNow(), m_state.random);
}

bool ForwardedRequest::passOn()
{
    if (endIfCallerGone()) {
        return true;
    }
    const auto vm = chooseVm();
    if (!vm) {
        return false;
    }
    sendToVm(*vm);
    return true;
}

void ForwardedRequest::sendToVm(const decision::EntryVm &vm)
{
    m_triedVms.push_back(vm.name);
    m_attempt.emplace();
    m_attempt->vm = vm.name;
    m_attempt->choice.id = vm.name;
    m_state.peerRoutes.onSent(vm.name);
    startCall(makeCallTo(vm));
}

net::HttpCall ForwardedRequest::makeCallTo(const decision::EntryVm &vm) const
{
    const RelayMetadata metadata = {.timeLeft = timeLeft(), .lastEventId = lastEventId(), .resumedAttempt = streamAttempt()};
    net::HttpCall call = makeCall(metadata.timeLeft);
    call.peer = net::parseAddress(vm.address).value_or(net::Address{});
    call.headers = withoutRelayFields(m_state.wire.relayHeaders(m_exchange->head(), metadata));
    addFields(call.headers,
              RelayedRequest{.by = m_state.vmName,
                             .deliveries = otherDeliveries(),
                             .service = m_origin ? m_origin->service : "",
                             .softwareVersion = m_origin ? m_origin->softwareVersion : ""});
    call.freshConnection = true; // its answer needs no id then, and a connection that was idle may have died without notice
    call.connectTimeout = std::min(PeerConnectTimeout, metadata.timeLeft);
    return call;
}

bool ForwardedRequest::handleVmAnswer()
{
    if (!m_attempt->isPassedOn()) {
        return false;
    }
    const net::HttpHead head = *m_attempt->head;
    const RelayedAnswer answer = readRelayedAnswer(head.headers);
    if (answer.hasNoPath) {
        m_state.peerRoutes.onNoPath(m_service, m_attempt->vm, suspendAwareNow());
        endAttempt("no_path");
        tryNextServer();
        return true;
    }
    // A VM that knows the call names itself in its own answers; one of the version before does so only where a server answered or it has no path.
    const bool isUnknownCall = answer.server.empty() && answer.vm.empty() && isUnknownTarget(head.status);
    if (isUnknownCall) {
        m_state.peerRoutes.onUnknownCall(m_attempt->vm, suspendAwareNow());
        m_state.log.write(LinePriority::Notable, "unknown_call", {{"peer", m_attempt->vm}, {"status", head.status}, {"request", m_record.id}});
        endAttempt("unknown_call");
        tryNextServer();
        return true;
    }
    m_state.peerRoutes.onServed(m_service, m_attempt->vm, suspendAwareNow());
    if (!answer.server.empty()) {
        return false; // a backend server's own answer
    }
    const std::string reason = refusalReason(m_attempt->body);
    endAttempt("refused");
    m_record.attempts.back().refusalStatus = head.status;
    m_record.attempts.back().refusal = reason;
    const bool mayHaveRun = head.status >= 500 && head.status != 503;
    if (mayHaveRun && m_route->isRepeatable()) {
        retryAfterVm(answer);
        return true;
    }
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    bool isDelay = false;
    const double delay = head.header("Retry-After").toDouble(&isDelay);
    m_retryAfter = isDelay ? std::optional(milliseconds(static_cast<std::int64_t>(delay * 1000))) : std::nullopt;
    if (head.status == 401 || head.status == 404) {
        m_retryAfter = SkewRetryDelay;
    }
    m_record.noServerReason = "refused by the VM that it was passed on to";
    // One VM's refusal says nothing about the others, and a caller who has a part of the stream can't be told to come back.
    const bool mayGoOn = meansNotRun(head.status) && !lastEventId().empty() && chooseVm();
    if (mayGoOn && m_state.retryAllowance(m_service).tryAcquire(monotonicNow()) && passOn()) {
        return true;
    }
    waitOrConclude();
    return true;
}

void ForwardedRequest::retryAfterVm(const RelayedAnswer &answer)
{
    if (!answer.deliveries) {
        retryOrConclude(true, Delivery::Delivered);
        return;
    }
    // The VM was told of the servers before, those of the other open attempts included.
    const auto others = static_cast<std::uint32_t>(m_otherAttempts.size());
    m_deliveries = std::max(m_deliveries, *answer.deliveries - std::min(others, *answer.deliveries));
    retryOrConclude(true, Delivery::Uncounted);
}

void ForwardedRequest::handleFailedVm(const net::HttpResult &result)
{
    // A VM that closes the connection inside its answer was there to pass on the break of its server's.
    if (!m_attempt->head || result.failure != net::HttpFailure::Closed) {
        m_state.peerRoutes.onSilent(m_attempt->vm, suspendAwareNow());
    }
    endAttempt(net::toText(result.failure));
    if (!result.sent) {
        tryNextServer();
        return;
    }
    retryOrConclude(true, Delivery::Delivered);
}

void ForwardedRequest::refuseWithoutPath()
{
    m_hasNoPath = true;
    m_retryAfter = NoPathRetryDelay;
    m_record.noServerReason = "no path to the servers";
    concludeWithoutAnswer();
}

std::vector<net::Header> ForwardedRequest::answerHeaders(const net::HttpHead &head) const
{
    std::vector<net::Header> headers = withoutRelayFields(m_state.wire.answerHeaders(head));
    if (m_source == Source::EntryVm) {
        addFields(headers, RelayedAnswer{.server = m_answeringServer.id, .service = m_service, .softwareVersion = m_answeringServer.softwareVersion});
    }
    return headers;
}

std::string ForwardedRequest::streamAttempt() const
{
    return m_metadata.resumedAttempt.empty() ? m_metadata.id : m_metadata.resumedAttempt;
}

} // namespace auburndrum::gateway
