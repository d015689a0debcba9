#include "auburndrum/entry/claimforwarder.h"

#include "auburndrum/base/randomid.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <QPointer>

#include <optional>
#include <utility>

namespace auburndrum::entry {

using nlohmann::json;

namespace {

constexpr const char *ForwardMethod = "claims.forward";
constexpr const char *ResultMethod = "claims.result";

/// A claim or a result, with the id that links the two.
struct Envelope
{
    std::string id;
    std::string text;
};

std::string toJson(const Envelope &envelope)
{
    return json{{"id", envelope.id}, {"text", envelope.text}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Envelope> envelopeFrom(const std::string &paramsJson)
{
    try {
        const json params = parseJson(paramsJson);
        return Envelope{params.at("id").get<std::string>(), params.at("text").get<std::string>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

ClaimForwarder::ClaimForwarder(PeerClient &client, PeerServer &server, AddressLookup addressLookup, ClaimForwarderOptions options)
    : m_client(client)
    , m_addressLookup(std::move(addressLookup))
    , m_options(options)
{
    server.addMethod(ForwardMethod, [this](const std::string &peer, const std::string &paramsJson) {
        return handleClaim(peer, paramsJson);
    });
    server.addMethod(ResultMethod, [this](const std::string &peer, const std::string &paramsJson) {
        return handleResult(peer, paramsJson);
    });
}

void ClaimForwarder::setClaimHandler(ClaimHandler handler)
{
    m_claimHandler = std::move(handler);
}

void ClaimForwarder::forward(const std::string &peer, const std::string &claim, Done done)
{
    if (m_pendingForwards.size() >= m_options.maxPendingForwards) {
        QTimer::singleShot(0, this, [done = std::move(done)] {
            done(EntryError::Refused);
        });
        return;
    }
    const std::string id = randomId();
    m_pendingForwards[id] = {peer, std::move(done)};
    QTimer::singleShot(m_options.resultTimeout, this, [this, id] {
        finish(id, EntryError::Unanswered);
    });
    m_client.call({peer, m_addressLookup(peer), ForwardMethod, toJson({id, claim})}, [this, id](const EntryResult<std::string> &result) {
        // A claim without a response may have reached the owner, so its result can still arrive.
        if (!result && result.error() != EntryError::Unanswered) {
            finish(id, result.error());
        }
    });
}

std::size_t ClaimForwarder::pendingForwards() const
{
    return m_pendingForwards.size();
}

RpcResult ClaimForwarder::handleClaim(const std::string &peer, const std::string &paramsJson)
{
    const auto envelope = envelopeFrom(paramsJson);
    if (!envelope) {
        return rpcError(RpcInvalidParams, "id and text are required");
    }
    const auto reply = [self = QPointer(this), peer, id = envelope->id](const std::string &result) {
        if (!self) {
            return;
        }
        self->m_client.call({peer, self->m_addressLookup(peer), ResultMethod, toJson({id, result})}, [](const EntryResult<std::string> &) {
        });
    };
    if (!m_claimHandler || !m_claimHandler(envelope->text, reply)) {
        return rpcError(RpcRefused, "this entry VM doesn't accept claims at present");
    }
    return rpcResult("{}");
}

RpcResult ClaimForwarder::handleResult(const std::string &peer, const std::string &paramsJson)
{
    const auto envelope = envelopeFrom(paramsJson);
    if (!envelope) {
        return rpcError(RpcInvalidParams, "id and text are required");
    }
    const auto it = m_pendingForwards.find(envelope->id);
    // Only the peer that the claim was forwarded to may send its result.
    if (it != m_pendingForwards.end() && it->second.peer == peer) {
        finish(envelope->id, envelope->text);
    }
    return rpcResult("{}");
}

void ClaimForwarder::finish(const std::string &id, const EntryResult<std::string> &result)
{
    const auto it = m_pendingForwards.find(id);
    if (it == m_pendingForwards.end()) {
        return;
    }
    const Done done = std::move(it->second.done);
    m_pendingForwards.erase(it);
    done(result);
}

} // namespace auburndrum::entry
