#pragma once

#include "auburndrum/gateway/gatewaystate.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::gateway {

/// How a request ended for its caller.
enum class Outcome {
    Served,
    ServerFailure, ///< the backend server's own failure, passed on
    Refused, ///< has not run and never will
    Failed, ///< no answer to pass on; it may have run
    TimedOut,
    Cut, ///< the stream ended before its end
    CallerGone,
    Rejected, ///< no such route, or the API key doesn't hold
};

const char *toText(Outcome outcome);

/// One try at a backend server, with what was believed of it.
struct AttemptRecord
{
    decision::ServerChoice choice;
    std::string result;
    std::chrono::milliseconds duration{0};
};

/// All that the log tells of one request.
struct RequestRecord
{
    std::string id;
    std::string route;
    std::string organisation;
    std::string service;
    std::string affinityKey; ///< id of the prompt part that decides its home; empty without a prompt
    Instant arrivedAt{};
    std::optional<Instant> firstByteAt; ///< of the answer
    std::uint64_t configurationVersion = 0;
    std::chrono::milliseconds configurationAge{0};
    std::chrono::milliseconds callerTimeout{0};
    std::vector<AttemptRecord> attempts;
    double retriesLeft = 0;
    std::string noServerReason; ///< why the last choice found no backend server; empty when it found one
    std::size_t serversKnown = 0; ///< of the service, at the last choice
};

/// Writes the request's line and counts it.
void recordRequest(GatewayState &state, const RequestRecord &record, Outcome outcome, int status, const char *reason);

} // namespace auburndrum::gateway
