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

/// Configuration that one entry VM sends to another. This layer does not interpret the text.
struct ConfigTransfer
{
    std::uint64_t offset = 0; ///< log offset up to which the configuration is complete
    std::string text;
    bool isFold = false; ///< the text is the complete fold, not the records after an offset
};

/// Functions through which a ConfigExchange reads and changes this process's configuration.
struct ConfigExchangeHooks
{
    /// Returns the records after an offset, or nothing when they are no longer stored; the complete fold is sent then.
    std::function<std::optional<std::string>(std::uint64_t after)> provideDelta;
    /// Returns the complete fold, or nothing while this process has no configuration.
    std::function<std::optional<std::string>()> provideFold;
    /// Returns whether to fetch from a peer with a higher offset. When this hook is empty, always fetches.
    std::function<bool()> isFetchEnabled;
    /// Applies configuration from a peer; its offset is always higher than this process's own. Returns whether it was applied.
    std::function<bool(const ConfigTransfer &)> apply;
};

/// Transfers configuration between entry VMs: deltas to VMs that don't read the log, the complete fold to a new VM while the log is down.
///
/// Never replaces configuration by that of a lower offset. Lives on the event loop's thread.
class ConfigExchange
{
public:
    using AddressLookup = std::function<std::string(const std::string &peer)>;

    /// @param addressLookup returns the address of the peer with a given name; empty when unknown
    ConfigExchange(PeerClient &client, PeerServer &server, AddressLookup addressLookup, ConfigExchangeHooks hooks);

    /// Records that this process's configuration covers the log up to @p offset, whether it came from the log or from a peer.
    void setOwnOffset(std::uint64_t offset);
    std::uint64_t ownOffset() const;
    /// Records the offset of a peer and fetches its configuration when that offset is higher than the own one.
    void handlePeerOffset(const std::string &peer, std::uint64_t offset);
    /// Requests the complete fold from @p peers one after another, last one first, until one has a higher offset than this process.
    void fetchFold(std::vector<std::string> peers, std::function<void(bool adopted)> done);
    /// Sets a hook that runs after a transfer was applied, with its offset.
    void setOnApplied(std::function<void(std::uint64_t offset)> hook);

private:
    RpcResult handleReadRequest(const std::string &paramsJson) const;
    void fetch(const std::string &peer);
    bool applyResult(const EntryResult<std::string> &result);

    PeerClient &m_client;
    AddressLookup m_addressLookup;
    ConfigExchangeHooks m_hooks;
    decision::ConfigCatchUp m_catchUp;
    std::function<void(std::uint64_t)> m_onApplied;
};

} // namespace auburndrum::entry
