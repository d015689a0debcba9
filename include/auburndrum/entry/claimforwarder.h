#pragma once

#include "auburndrum/entry/peerclient.h"
#include "auburndrum/entry/peerserver.h"

#include <QObject>
#include <QTimer>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace auburndrum::entry {

struct ClaimForwarderOptions
{
    std::chrono::milliseconds resultTimeout{5000};
    std::size_t maxPendingForwards = 4000;
};

/// Forwards claims to the entry VMs that own their keys. The owner returns each result in a separate call.
///
/// Each claim is sent once. After resultTimeout it is unknown whether the log holds the claim; the claim's state machine finds that out from the log.
/// Lives on the event loop's thread.
class ClaimForwarder : public QObject
{
public:
    using AddressLookup = std::function<std::string(const std::string &peer)>;
    using Done = std::function<void(EntryResult<std::string>)>;
    /// Handles the text of a claim and calls @p reply once with the result's text. Returns false, without any effect, to refuse the claim.
    using ClaimHandler = std::function<bool(const std::string &claim, std::function<void(const std::string &result)> reply)>;

    ClaimForwarder(PeerClient &client, PeerServer &server, AddressLookup addressLookup, ClaimForwarderOptions options);

    /// Sets the handler for claims whose keys this process owns. Without one, all claims are refused.
    void setClaimHandler(ClaimHandler handler);
    /// Sends @p claim to @p peer.
    /// @param done receives the result; after EntryError::Unreachable or EntryError::Refused the owner has not processed the claim
    void forward(const std::string &peer, const std::string &claim, Done done);
    std::size_t pendingForwards() const;

private:
    struct PendingForward
    {
        std::string peer;
        Done done;
    };

    RpcResult handleClaim(const std::string &peer, const std::string &paramsJson);
    RpcResult handleResult(const std::string &peer, const std::string &paramsJson);
    void finish(const std::string &id, const EntryResult<std::string> &result);

    PeerClient &m_client;
    AddressLookup m_addressLookup;
    ClaimForwarderOptions m_options;
    ClaimHandler m_claimHandler;
    std::map<std::string, PendingForward> m_pendingForwards; ///< by the id that links a claim to its result
};

} // namespace auburndrum::entry
