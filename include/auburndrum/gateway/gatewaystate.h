#pragma once

#include "auburndrum/decision/knownera.h"
#include "auburndrum/decision/traffic/backendlist.h"
#include "auburndrum/decision/traffic/configuration.h"
#include "auburndrum/decision/traffic/crashquarantine.h"
#include "auburndrum/decision/traffic/eventsequence.h"
#include "auburndrum/decision/traffic/namedweights.h"
#include "auburndrum/decision/traffic/peerroutes.h"
#include "auburndrum/decision/traffic/responsememory.h"
#include "auburndrum/decision/traffic/retryallowance.h"
#include "auburndrum/decision/traffic/routedurations.h"
#include "auburndrum/decision/traffic/serverchooser.h"
#include "auburndrum/decision/traffic/serverlimits.h"
#include "auburndrum/decision/traffic/serverpath.h"
#include "auburndrum/decision/traffic/storedprompts.h"
#include "auburndrum/decision/traffic/streamorigins.h"
#include "auburndrum/gateway/decisionlog.h"
#include "auburndrum/gateway/gatewaymetrics.h"
#include "auburndrum/gateway/loopwork.h"
#include "auburndrum/gateway/wire.h"
#include "auburndrum/net/httpclient.h"

#include <absl/random/random.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace auburndrum::gateway {

class ForwardedRequest;

/// What a search for the origin of a stream found.
struct OriginFinding
{
    std::optional<decision::StreamOrigin> origin; ///< empty: unknown
    bool mayBeToldLater = false; ///< a VM that may know it did not answer
    std::size_t asked = 0; ///< other entry VMs that were asked
    std::size_t answered = 0;
    std::chrono::milliseconds duration{0};
};

/// State that all requests of one gateway share. Lives on the event loop's thread.
struct GatewayState
{
    GatewayState(decision::ServerChooserOptions chooserOptions,
                 DecisionLogOptions logOptions,
                 Wire wireHooks,
                 decision::RetryAllowanceOptions retries,
                 decision::ResponseMemoryOptions responses = {})
        : vmName(logOptions.vm)
        , wire(std::move(wireHooks))
        , storedPrompts({.zone = chooserOptions.zone, .regionOfZone = chooserOptions.regionOfZone})
        , limits({.vm = logOptions.vm})
        , brittle({.vm = logOptions.vm})
        , peerRoutes({.zone = chooserOptions.zone, .regionOfZone = chooserOptions.regionOfZone})
        , chooser(std::move(chooserOptions), servers, storedPrompts, limits, pauses, brittle)
        , responseMemory(responses)
        , quarantine({.vm = logOptions.vm})
        , log(std::move(logOptions))
        , metrics(registry)
        , retryOptions(retries)
    {
    }

    decision::RetryAllowance &retryAllowance(const std::string &service)
    {
        return retryAllowances.try_emplace(service, retryOptions).first->second;
    }

    std::string vmName;
    LoopWork work;
    std::set<ForwardedRequest *> openRequests; ///< those that were begun and have no final answer
    std::optional<Instant> leavesRotationAt; ///< in a planned stop: from when on the balancer sends no new connections, unless too few VMs are ready
    std::optional<Instant> stopMayEndAt; ///< the same as stopEndsAt if the signal came as early as it may have, while the loop was late or the process paused
    std::optional<Instant> stopEndsAt; ///< in a planned stop: when each request must have its final answer
    decision::RouteDurations routeDurations;
    Wire wire;
    std::shared_ptr<const decision::Configuration> configuration; ///< null until the first one
    Instant configurationAppliedAt{}; ///< when this VM applied it
    /// All configurations that the store had acknowledged by this time were read; empty when none was.
    std::function<std::optional<Instant>()> configurationCompleteAt;
    std::chrono::milliseconds changeTime{2500}; ///< after its acknowledgement, within which a configuration must be in force
    decision::BackendList servers;
    decision::StoredPrompts storedPrompts;
    decision::ServerLimits limits;
    decision::ServerPauses pauses;
    decision::BrittleServers brittle;
    decision::PeerRoutes peerRoutes;
    decision::ServerPath serverPath;
    decision::KnownEra storeEra;
    std::function<std::vector<decision::EntryVm>()> otherVms; ///< that requests may be passed on to; empty when there is no directory of VMs
    /// @{ Called with each server that can't be connected to in the time `waited`, and when one responds while serverPath is cut.
    std::function<void(const std::string &server, std::chrono::milliseconds waited)> onServerUnreachable;
    std::function<void(const std::string &server)> onConnectionLost; ///< the same with each whose connection ends under a request
    std::function<void()> onPathRegained;
    /// @}
    decision::ServerChooser chooser;
    std::map<std::string, decision::NamedWeights> weights; ///< by model
    std::chrono::milliseconds outdatedWeightsLimit{10000}; ///< time after newer weights are named from which no request may begin on older ones
    net::HttpClient client;
    decision::ResponseMemory responseMemory;
    std::map<decision::ResponseMemory::Id, std::function<void()>> giveUpResponse; ///< ends an attempt whose response takes too much memory
    decision::CrashQuarantine quarantine;
    std::map<std::string, decision::EventIdSteps> eventIdSteps; ///< by service
    qint64 heldBodyBytes = 0; ///< of requests that are not sent before their bodies were read
    qint64 maxHeldBodyBytes = 16 * 1024 * 1024;
    /// Remembers here and at other entry VMs which software began the stream of a caller's attempt.
    std::function<void(const std::string &attempt, const decision::StreamOrigin &origin)> recordOrigin;
    /// Finds that again; the hook may run inside the call.
    std::function<void(const std::string &attempt, std::function<void(const OriginFinding &)> done)> findOrigin;
    std::function<void()> onNewsForPeers; ///< called when a response, or its absence, says something that the other entry VMs need
    DecisionLog log;
    Metrics registry;
    GatewayMetrics metrics;
    decision::RetryAllowanceOptions retryOptions;
    std::map<std::string, decision::RetryAllowance> retryAllowances; ///< by service
    absl::BitGen random;
};

} // namespace auburndrum::gateway
