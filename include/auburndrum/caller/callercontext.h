#pragma once

#include "auburndrum/backend/fleet.h"
#include "auburndrum/base/daemonmetrics.h"
#include "auburndrum/base/timeline.h"
#include "auburndrum/caller/admissiongate.h"
#include "auburndrum/caller/directory.h"
#include "auburndrum/net/httpclient.h"
#include "auburndrum/platform/claimservice.h"

#include <functional>
#include <memory>

namespace auburndrum::caller {

/// Parts of the daemon that the caller API uses. Every referenced object outlives the context.
struct CallerContext
{
    net::HttpClient &http;
    backend::Fleet &fleet;
    platform::ClaimService &claims;
    AdmissionGate &gate;
    Timeline &timeline;
    DaemonMetrics &metrics;
    std::function<std::shared_ptr<const Directory>()> directory;
    /// Runs `work` in the worker pool, then `done` on the event loop.
    std::function<void(std::function<void()> work, std::function<void()> done)> runInPool;
    std::function<void(const std::string &address, std::uint64_t incarnation)> onLeavingServer;
};

} // namespace auburndrum::caller
