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
    std::size_t maxWaiting = 4000;
};

/// Sends claims to the entry VMs that own their keys and brings the results back by a call of their own.
///
/// A forward is sent once. Without a result in time the claim may or may not be in the log, which the claim's state machine settles there.
/// Lives on the event loop's thread.
class ClaimForwarder : public QObject
{
public:
    using Address = std::function<std::string(const std::string &peer)>;
    using Done = std::function<void(EntryResult<std::string>)>;
    /// Gets the claim's text; calls @p reply once with the result's text. Returns false to refuse the claim, then nothing was done.
    using Owner = std::function<bool(const std::string &claim, std::function<void(const std::string &result)> reply)>;

    ClaimForwarder(PeerClient &client, PeerServer &server, Address address, ClaimForwarderOptions options);

    /// Sets what handles claims for which this process is the owner.
    void setOwner(Owner owner);
    /// Sends @p claim to @p peer.
    /// @param done EntryError::Unreachable and EntryError::Refused: the owner did nothing
    void forward(const std::string &peer, const std::string &claim, Done done);
    std::size_t waiting() const;

private:
    struct Waiting
    {
        std::string peer;
        Done done;
    };

    RpcResult takeClaim(const std::string &peer, const std::string &paramsJson);
    RpcResult takeResult(const std::string &peer, const std::string &paramsJson);
    void finish(const std::string &id, const EntryResult<std::string> &result);

    PeerClient &m_client;
    Address m_address;
    ClaimForwarderOptions m_options;
    Owner m_owner;
    std::map<std::string, Waiting> m_waiting; ///< by id
};

} // namespace auburndrum::entry
