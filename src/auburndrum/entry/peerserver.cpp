#include "auburndrum/entry/peerserver.h"

#include "auburndrum/entry/peerclient.h"

#include <openssl/crypto.h>

#include <utility>

namespace auburndrum::entry {

namespace {

constexpr int StatusUnauthorized = 401;
constexpr int StatusWrongMethod = 405;

QByteArray errorBody(const char *message, const char *code)
{
    return QByteArray(R"({"error":{"message":")") + message + R"(","type":"invalid_request_error","param":null,"code":")" + code + R"("}})";
}

} // namespace

PeerServer::PeerServer(std::string fleetSecret, const PeerCuts &cuts)
    : m_fleetSecret(std::move(fleetSecret))
    , m_cuts(cuts)
{
}

void PeerServer::addMethod(const std::string &name, Handler handler)
{
    m_dispatcher.addMethod(name, [this, handler = std::move(handler)](const std::string &paramsJson) {
        return handler(m_callingPeer, paramsJson);
    });
}

bool PeerServer::handle(const std::shared_ptr<net::Exchange> &exchange)
{
    if (exchange->path() != "/rpc") {
        return false;
    }
    m_callingPeer = exchange->header(PeerNameHeader).toStdString();
    if (m_cuts.isCut(m_callingPeer)) {
        exchange->abort();
        return true;
    }
    if (exchange->method() != "POST") {
        exchange->respondJson(StatusWrongMethod, errorBody("only POST is allowed", "wrong_method"));
        return true;
    }
    if (!isAuthorized(*exchange)) {
        exchange->respondJson(StatusUnauthorized, errorBody("the fleet's secret is missing or wrong", "unauthorized"));
        return true;
    }
    const std::string response = m_dispatcher.dispatch(exchange->body().toStdString());
    if (m_onBytesTransferred) {
        m_onBytesTransferred(static_cast<std::size_t>(exchange->body().size()) + response.size() + HttpOverheadBytes);
    }
    exchange->respondJson(200, QByteArray::fromStdString(response));
    return true;
}

void PeerServer::setOnBytesTransferred(std::function<void(std::size_t)> hook)
{
    m_onBytesTransferred = std::move(hook);
}

bool PeerServer::isAuthorized(const net::Exchange &exchange) const
{
    if (m_fleetSecret.empty()) {
        return true;
    }
    const QByteArray given = exchange.header(FleetSecretHeader);
    const auto size = static_cast<std::size_t>(given.size());
    // Compares in constant time, so that the response time reveals nothing about the secret.
    return size == m_fleetSecret.size() && CRYPTO_memcmp(given.constData(), m_fleetSecret.data(), size) == 0;
}

} // namespace auburndrum::entry
