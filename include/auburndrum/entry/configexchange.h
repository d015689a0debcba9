#pragma once

#include "auburndrum/decision/configcatchup.h"
#include "auburndrum/entry/peerclient.h"
#include "auburndrum/entry/peerserver.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::entry {

/// Configuration as one entry VM hands it to another; the texts are opaque here.
struct ConfigTransfer
{
    std::uint64_t offset = 0; ///< log offset that it covers
    std::string text;
    bool isWhole = false; ///< the whole fold instead of the records after an offset
};

/// Hooks of a ConfigExchange.
struct ConfigExchangeHooks
{
    /// Returns the records after an offset; nothing when they are no longer kept, then the whole fold is sent.
    std::function<std::optional<std::string>(std::uint64_t after)> provideDelta;
    /// Returns the whole fold; nothing while there is none.
    std::function<std::optional<std::string>()> provideFold;
    /// Whether to fetch from a peer that is ahead; always when empty.
    std::function<bool()> isWanted;
    /// Takes what a peer sent, always of a higher offset than the own one. Returns whether it could be used.
    std::function<bool(const ConfigTransfer &)> apply;
};

/// Moves configuration between entry VMs: deltas to those that don't read the log, the whole fold to a new one while the log is down.
///
/// Never goes back to a lower offset. Lives on the event loop's thread.
class ConfigExchange
{
public:
    using Address = std::function<std::string(const std::string &peer)>;

    /// @param address gives the address of a peer by name, empty when unknown
    ConfigExchange(PeerClient &client, PeerServer &server, Address address, ConfigExchangeHooks hooks);

    /// Notes that this process's configuration covers @p offset, from whatever source.
    void setOwnOffset(std::uint64_t offset);
    std::uint64_t ownOffset() const;
    /// Notes the offset of a peer and fetches when it is ahead.
    void handlePeerOffset(const std::string &peer, std::uint64_t offset);
    /// Asks @p peers in turn for their whole fold until one has a higher offset than ours.
    void fetchFold(std::vector<std::string> peers, std::function<void(bool adopted)> done);
    /// Sets what runs after a transfer was applied.
    void setOnApplied(std::function<void(std::uint64_t offset)> hook);

private:
    RpcResult answer(const std::string &paramsJson) const;
    void fetch(const std::string &peer);
    bool take(const EntryResult<std::string> &result);

    PeerClient &m_client;
    Address m_address;
    ConfigExchangeHooks m_hooks;
    decision::ConfigCatchUp m_catchUp;
    std::function<void(std::uint64_t)> m_onApplied;
};

} // namespace auburndrum::entry
