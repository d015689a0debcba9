#pragma once

#include "auburndrum/entry/jsonrpc.h"
#include "auburndrum/entry/peercuts.h"
#include "auburndrum/net/exchange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace auburndrum::entry {

/// Serves the calls of other entry VMs: `POST /rpc` with the fleet's secret. Lives on the event loop's thread.
class PeerServer
{
public:
    /// Handles a call; receives the calling entry VM's name and the parameters as JSON text.
    using Handler = std::function<RpcResult(const std::string &peer, const std::string &paramsJson)>;

    /// @param fleetSecret secret that callers must send; when empty, calls need no secret
    /// @param cuts outlives this object
    PeerServer(std::string fleetSecret, const PeerCuts &cuts);

    void addMethod(const std::string &name, Handler handler);
    /// Responds to @p exchange if it is a call by a peer. Returns whether it is one.
    bool handle(const std::shared_ptr<net::Exchange> &exchange);
    /// Sets a hook that receives the number of bytes of each call, both directions together.
    void setOnBytesTransferred(std::function<void(std::size_t)> hook);

private:
    bool isAuthorized(const net::Exchange &exchange) const;

    std::string m_fleetSecret;
    const PeerCuts &m_cuts;
    RpcDispatcher m_dispatcher;
    std::string m_callingPeer; ///< name of the entry VM whose call is being dispatched
    std::function<void(std::size_t)> m_onBytesTransferred;
};

} // namespace auburndrum::entry
