#pragma once

#include "auburndrum/decision/traffic/backendlist.h"
#include "auburndrum/decision/traffic/configuration.h"
#include "auburndrum/decision/traffic/namedweights.h"
#include "auburndrum/decision/traffic/retryallowance.h"
#include "auburndrum/decision/traffic/serverchooser.h"
#include "auburndrum/decision/traffic/storedprompts.h"
#include "auburndrum/gateway/decisionlog.h"
#include "auburndrum/gateway/gatewaymetrics.h"
#include "auburndrum/gateway/wire.h"
#include "auburndrum/net/httpclient.h"

#include <absl/random/random.h>

#include <map>
#include <memory>
#include <string>

namespace auburndrum::gateway {

/// What all requests of one gateway share. Lives on the event loop's thread.
struct GatewayState
{
    GatewayState(decision::ServerChooserOptions chooserOptions, DecisionLogOptions logOptions, Wire wireHooks, decision::RetryAllowanceOptions retries)
        : wire(std::move(wireHooks))
        , kept({.zone = chooserOptions.zone, .regionOfZone = chooserOptions.regionOfZone})
        , chooser(std::move(chooserOptions), servers, kept)
        , log(std::move(logOptions))
        , metrics(registry)
        , retryOptions(retries)
    {
    }

    decision::RetryAllowance &retryAllowance(const std::string &service)
    {
        return allowances.try_emplace(service, retryOptions).first->second;
    }

    Wire wire;
    std::shared_ptr<const decision::Configuration> configuration; ///< null until the first one
    Instant configurationAt{}; ///< when it came into force here
    decision::BackendList servers;
    decision::StoredPrompts kept;
    decision::ServerChooser chooser;
    std::map<std::string, decision::NamedWeights> weights; ///< by model
    net::HttpClient client;
    DecisionLog log;
    Metrics registry;
    GatewayMetrics metrics;
    decision::RetryAllowanceOptions retryOptions;
    std::map<std::string, decision::RetryAllowance> allowances; ///< by service
    absl::BitGen random;
};

} // namespace auburndrum::gateway
