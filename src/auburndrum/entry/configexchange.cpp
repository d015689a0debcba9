#include "auburndrum/entry/configexchange.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace auburndrum::entry {

using nlohmann::json;

namespace {

constexpr const char *ReadMethod = "config.read";

std::optional<ConfigTransfer> transferFrom(const std::string &text)
{
    try {
        const json value = parseJson(text);
        return ConfigTransfer{integerFrom<std::uint64_t>(value.at("offset")), value.at("text").get<std::string>(), value.at("whole").get<bool>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string paramsFor(std::uint64_t after, bool whole)
{
    return json{{"after", after}, {"whole", whole}}.dump();
}

} // namespace

ConfigExchange::ConfigExchange(PeerClient &client, PeerServer &server, AddressLookup addressLookup, ConfigExchangeHooks hooks)
    : m_client(client)
    , m_addressLookup(std::move(addressLookup))
    , m_hooks(std::move(hooks))
{
    server.addMethod(ReadMethod, [this](const std::string &, const std::string &paramsJson) {
        return handleReadRequest(paramsJson);
    });
}

void ConfigExchange::setOwnOffset(std::uint64_t offset)
{
    m_catchUp.setOwnOffset(offset);
}

std::uint64_t ConfigExchange::ownOffset() const
{
    return m_catchUp.ownOffset();
}

void ConfigExchange::handlePeerOffset(const std::string &peer, std::uint64_t offset)
{
    if (m_hooks.isFetchEnabled && !m_hooks.isFetchEnabled()) {
        return;
    }
    if (const auto source = m_catchUp.onPeerOffset(peer, offset)) {
        fetch(*source);
    }
}

void ConfigExchange::fetchFold(std::vector<std::string> peers, std::function<void(bool)> done)
{
    if (peers.empty()) {
        done(false);
        return;
    }
    const std::string peer = peers.back();
    peers.pop_back();
    m_client.call({peer, m_addressLookup(peer), ReadMethod, paramsFor(0, true)},
                  [this, peers = std::move(peers), done = std::move(done)](const EntryResult<std::string> &result) {
                      if (applyResult(result)) {
                          done(true);
                          return;
                      }
                      fetchFold(peers, done);
                  });
}

void ConfigExchange::setOnApplied(std::function<void(std::uint64_t)> hook)
{
    m_onApplied = std::move(hook);
}

RpcResult ConfigExchange::handleReadRequest(const std::string &paramsJson) const
{
    std::uint64_t after = 0;
    bool whole = false;
    try {
        const json params = parseJson(paramsJson);
        after = integerFrom<std::uint64_t>(params.at("after"));
        whole = params.at("whole").get<bool>();
    } catch (const json::exception &) {
        return rpcError(RpcInvalidParams, "after and whole are required");
    }
    std::optional<std::string> text;
    if (!whole && m_hooks.provideDelta) {
        text = m_hooks.provideDelta(after);
    }
    if (!text) {
        whole = true;
        text = m_hooks.provideFold ? m_hooks.provideFold() : std::nullopt;
    }
    if (!text) {
        return rpcError(RpcRefused, "no configuration yet");
    }
    return rpcResult(json{{"offset", ownOffset()}, {"text", *text}, {"whole", whole}}.dump(-1, ' ', false, json::error_handler_t::replace));
}

void ConfigExchange::fetch(const std::string &peer)
{
    m_client.call({peer, m_addressLookup(peer), ReadMethod, paramsFor(ownOffset(), false)}, [this](const EntryResult<std::string> &result) {
        if (const auto next = m_catchUp.onFetchFinished(applyResult(result))) {
            fetch(*next);
        }
    });
}

bool ConfigExchange::applyResult(const EntryResult<std::string> &result)
{
    if (!result) {
        return false;
    }
    const auto transfer = transferFrom(result.value());
    if (!transfer || !m_catchUp.isNewerThanOwn(transfer->offset)) {
        return false;
    }
    if (!m_hooks.apply || !m_hooks.apply(*transfer)) {
        return false;
    }
    m_catchUp.setOwnOffset(transfer->offset);
    if (m_onApplied) {
        m_onApplied(transfer->offset);
    }
    return true;
}

} // namespace auburndrum::entry
