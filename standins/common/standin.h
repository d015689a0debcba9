#pragma once

#include "standins/common/faults.h"
#include "standins/common/reply.h"

#include "auburndrum/net/httpserver.h"

#include <functional>
#include <memory>
#include <vector>

namespace auburndrum::standins {

/// What one stand-in does with its requests.
struct StandInHooks
{
    std::function<void(const std::shared_ptr<Reply> &)> onRequest;
    std::function<bool(const Fault &)> onFault; ///< optional; true when it has dealt with the fault itself
};

/// HTTP server of a stand-in: serves the fault switches and bends requests by them.
class StandIn
{
public:
    StandIn(const net::HttpServerOptions &options, StandInHooks hooks);

    /// Listens there and returns the address in use, with port 0 when it can't be had.
    net::Address listenOn(const net::Address &address);

    FaultSwitches &faults();

private:
    void handle(const std::shared_ptr<net::Exchange> &exchange);
    void handleFaults(Reply &reply);
    void handleWithFault(const std::shared_ptr<net::Exchange> &exchange, const Fault &fault);
    void keepSilent(const std::shared_ptr<net::Exchange> &exchange);

    StandInHooks m_hooks;
    FaultSwitches m_faults;
    std::vector<std::shared_ptr<net::Exchange>> m_silent; ///< requests that never get the rest of their answer
    net::HttpServer m_server;
};

} // namespace auburndrum::standins
