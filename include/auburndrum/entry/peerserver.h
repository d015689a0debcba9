#pragma once

#include "auburndrum/entry/jsonrpc.h"
#include "auburndrum/entry/peercuts.h"
#include "auburndrum/net/exchange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace auburndrum::entry {

/// Takes the calls of other entry VMs: `POST /rpc` with the fleet's secret. Lives on the event loop's thread.
class PeerServer
{
public:
    /// Takes the caller's name and the parameters as JSON text.
    using Handler = std::function<RpcResult(const std::string &peer, const std::string &paramsJson)>;

    /// @param fleetSecret no credential is asked for when empty
    /// @param cuts outlives this object
    PeerServer(std::string fleetSecret, const PeerCuts &cuts);

    void addMethod(const std::string &name, Handler handler);
    /// Answers @p exchange when it is a call by a peer. Returns whether it was.
    bool handle(const std::shared_ptr<net::Exchange> &exchange);
    /// Sets what hears how many bytes a call took, both directions.
    void setOnBytes(std::function<void(std::size_t)> hook);

private:
    bool isAuthorized(const net::Exchange &exchange) const;

    std::string m_fleetSecret;
    const PeerCuts &m_cuts;
    RpcDispatcher m_dispatcher;
    std::string m_peer; ///< caller of the call being dispatched
    std::function<void(std::size_t)> m_onBytes;
};

} // namespace auburndrum::entry
