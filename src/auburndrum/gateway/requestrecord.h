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
    ServerFailure, ///< the backend server's own failure, forwarded
    Refused, ///< the request has not run and never will
    Failed, ///< no response to forward; the request may have run
    TimedOut,
    Cut, ///< the stream ended before its end
    CallerGone,
    Rejected, ///< no such route, or the API key doesn't hold
};

const char *toText(Outcome outcome);

/// One attempt at a backend server, with the state of the server that the gateway knew.
struct AttemptRecord
{
    decision::ServerChoice choice;
    std::string result;
    std::chrono::milliseconds duration{0};
    bool endedByClose = false; ///< only the end of the connection marked the end of the response
    std::int64_t partialEventBytes = 0; ///< bytes of an event that had not ended when the response did
    std::optional<double> limitPerSecond; ///< requests a second that the response named as the server's limit
    std::chrono::milliseconds sentAfter{0}; ///< from the request's first byte until it was sent
    std::int64_t unacknowledgedBytes = 0; ///< of the request, when its caller left
    std::uint32_t foreignAnswers = 0; ///< answers on its connection that were not the request's
    int refusalStatus = 0; ///< of the entry VM that it was passed on to; 0 without one
    std::string refusal; ///< the reason that this VM gave
    bool isPassedOn = false; ///< it went to another entry VM, which `choice.id` names
    std::string keptDespite; ///< the silence after which it would have been moved if another server could have taken over; empty without one
    std::optional<std::chrono::milliseconds> silentFor; ///< since the last part of its answer, when it ended; empty when no part had come
    std::optional<std::chrono::milliseconds> answeredAfter; ///< from when it was sent until its answer began; empty when none did
};

/// What the log states of one request.
struct RequestRecord
{
    std::string id;
    std::string route;
    std::string organisation;
    std::string service;
    std::string relayedBy; ///< the entry VM that passed the request on for its caller; empty for a caller of this VM
    std::string resumedAttempt; ///< of a stream that the caller takes up: the attempt that received its first event
    std::optional<OriginFinding> originFinding; ///< what was found out about who began that stream
    std::string affinityKey; ///< id of the prompt part that decides the preferred server; empty without a prompt
    Instant arrivedAt{};
    std::optional<std::chrono::milliseconds> unreadFor; ///< time for which its first bytes had waited to be read; empty when unknown
    std::optional<Instant> firstByteAt; ///< when the response's first byte was sent
    std::uint64_t configurationVersion = 0;
    std::chrono::milliseconds configurationAge{0};
    std::optional<std::chrono::milliseconds> configurationUnreadFor; ///< time since which a newer one may be in the store; empty before the first read
    std::chrono::milliseconds callerTimeout{0};
    std::vector<AttemptRecord> attempts;
    double retriesLeft = 0;
    std::size_t pathLosses = 0; ///< connections under it that ended with this VM's path to the servers
    std::string notSentAgain; ///< why no other server was asked after the last attempt; empty when one was, or when none had to be
    std::string noServerReason; ///< why the last choice found no backend server; empty when it found one
    std::optional<decision::CrashDecision>
        crashDecision; ///< set when the request or a part of its prompt is kept away, also for a request that is sent as a trial
    std::vector<std::string> parts; ///< shared parts of the prompt
    std::string requestMark; ///< the same for each repetition of the request; empty until its body was read
    std::size_t serversKnown = 0; ///< servers of the service at the last choice
    bool isBodyRepeatable = true; ///< false: a part of the body was passed on without being kept, so no further attempt could be made
};

/// Logs the request and updates the metrics.
void recordRequest(GatewayState &state, const RequestRecord &record, Outcome outcome, int status, const char *reason);

} // namespace auburndrum::gateway
