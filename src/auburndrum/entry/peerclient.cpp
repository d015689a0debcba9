#include "auburndrum/entry/peerclient.h"

#include "auburndrum/entry/jsonrpc.h"

#include <QTimer>

#include <utility>

namespace auburndrum::entry {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusUnauthorized = 401;
constexpr int AnswerTimes = 4; // for a whole answer, which may arrive in many parts

EntryError errorOf(const net::HttpResult &result)
{
    return result.sent ? EntryError::Unanswered : EntryError::Unreachable;
}

EntryError errorOf(const RpcResult &result)
{
    return result.errorCode == RpcRefused ? EntryError::Refused : EntryError::Malformed;
}

} // namespace

PeerClient::PeerClient(net::HttpClient &http, const PeerCuts &cuts, PeerClientOptions options)
    : m_http(http)
    , m_cuts(cuts)
    , m_options(std::move(options))
{
}

void PeerClient::call(const PeerCall &call, Done done)
{
    const auto address = net::parseAddress(call.address);
    if (!address || m_cuts.isCut(call.peer)) {
        failLater(EntryError::Unreachable, std::move(done));
        return;
    }
    const std::string request = encodeRpcRequest(call.method, call.paramsJson);
    if (request.empty()) {
        failLater(EntryError::Malformed, std::move(done));
        return;
    }
    net::HttpCall http;
    http.peer = *address;
    http.method = "POST";
    http.target = "/rpc";
    http.headers = {{"Content-Type", "application/json"}, {PeerNameHeader, QByteArray::fromStdString(m_options.name)}};
    if (!m_options.fleetSecret.empty()) {
        http.headers.push_back({FleetSecretHeader, QByteArray::fromStdString(m_options.fleetSecret)});
    }
    http.body = QByteArray::fromStdString(request);
    http.connectTimeout = m_options.connectTimeout;
    http.firstByteTimeout = m_options.answerTimeout;
    http.idleTimeout = m_options.answerTimeout;
    http.wholeTimeout = m_options.connectTimeout + AnswerTimes * m_options.answerTimeout;
    net::HttpHooks hooks;
    hooks.onDone = [this, alive = std::weak_ptr(m_alive), bytes = request.size(), done = std::move(done)](const net::HttpResult &result) {
        if (!alive.expired()) {
            handleResult(result, bytes, done);
        }
    };
    m_http.start(http, std::move(hooks));
}

void PeerClient::failLater(EntryError error, Done done)
{
    QTimer::singleShot(0, &m_http, [alive = std::weak_ptr(m_alive), error, done = std::move(done)] {
        if (!alive.expired()) {
            done(error);
        }
    });
}

void PeerClient::setOnBytesTransferred(std::function<void(std::size_t)> hook)
{
    m_onBytesTransferred = std::move(hook);
}

void PeerClient::handleResult(const net::HttpResult &result, std::size_t requestBytes, const Done &done) const
{
    if (m_onBytesTransferred && result.sent) {
        m_onBytesTransferred(requestBytes + static_cast<std::size_t>(result.body.size()) + HttpOverheadBytes);
    }
    if (result.failure != net::HttpFailure::None) {
        done(errorOf(result));
        return;
    }
    if (result.head.status == StatusUnauthorized) {
        done(EntryError::Unauthorized);
        return;
    }
    if (result.head.status != StatusOk) {
        done(EntryError::Refused);
        return;
    }
    RpcResult answer = decodeRpcResponse(result.body.toStdString());
    if (!answer.ok) {
        done(errorOf(answer));
        return;
    }
    done(std::move(answer.json));
}

} // namespace auburndrum::entry
