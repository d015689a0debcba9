#pragma once

#include "auburndrum/decision/traffic/prompt.h"
#include "auburndrum/decision/traffic/serverchooser.h"
#include "auburndrum/net/header.h"
#include "auburndrum/net/requestparser.h"
#include "auburndrum/net/responseparser.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::gateway {

/// What a caller's request states besides its body.
struct RequestMetadata
{
    std::string id; ///< id of this one attempt of the caller; never reused
    std::string host;
    std::string apiKey; ///< empty when it carries none
    std::optional<std::chrono::milliseconds> callerTimeout; ///< how long the caller waits for the response
    std::optional<decision::Prompt> prompt;
    std::string lastEventId; ///< the caller resumes a stream after this event; empty for a new stream
    std::string resumedAttempt; ///< id of the caller's attempt that received the stream's first event; empty for a new stream
};

/// What the gateway sets on a request that it forwards.
struct ForwardMetadata
{
    std::string serverId; ///< any other backend server refuses the request
    std::chrono::milliseconds timeLeft{0};
    std::string organisation; ///< empty when the request carries no API key
    std::string cacheScope; ///< cached prompt parts are shared within it; empty for the common one
    std::optional<std::uint32_t> urgency; ///< 0 to 9; engines take the lowest first
    std::string lastEventId; ///< the response continues after this event; empty for a complete response
    std::optional<std::uint64_t> weightVersion; ///< a server with other weights refuses the request
    std::vector<std::string> partSources; ///< for each prompt part the address that it may be fetched from, or empty
    std::vector<std::string> partTargets; ///< for each prompt part the store to put it in, or empty
    bool hasManagedStores = true; ///< false: one address for the whole prompt, the first that is not empty
};

/// What the gateway sets on a request that it passes on to another entry VM.
struct RelayMetadata
{
    std::chrono::milliseconds timeLeft{0};
    std::string lastEventId; ///< the answer continues after this event; empty for a complete answer
    std::string resumedAttempt; ///< id of the attempt that received the stream's first event
};

/// What a backend server's response states besides its body.
struct AnswerMetadata
{
    std::string requestId; ///< empty when it names none
    bool isSealed = false; ///< whether it carries the server's signature
    bool hasNotRun = false; ///< the server states that it did not and will not run the request
    bool isEncoded = false; ///< whether the body is encoded and so not the server's own bytes
    bool isEventStream = false;
    std::optional<decision::LoadReport> load;
    std::optional<double> limitPerSecond; ///< requests a second that the server takes from all entry VMs together; empty: as many as come
    std::optional<double> borneRejections; ///< a second; a server that must turn more requests away falls over. Empty: it names no number
    bool isLeaving = false; ///< the server states that it leaves
    std::optional<std::chrono::milliseconds> retryAfter; ///< time for which the server wants no more requests, where it turns one away
};

/// How the deployment's messages are read and written. Every hook must be set.
struct Wire
{
    std::function<RequestMetadata(const net::RequestHead &)> readRequest;
    std::function<std::vector<net::Header>(const net::RequestHead &, const ForwardMetadata &)> forwardHeaders;
    /// As the caller sent them, for another entry VM that treats them alike.
    std::function<std::vector<net::Header>(const net::RequestHead &, const RelayMetadata &)> relayHeaders;
    std::function<AnswerMetadata(const net::HttpHead &)> readAnswer;
    std::function<std::vector<net::Header>(const net::HttpHead &)> answerHeaders;
};

} // namespace auburndrum::gateway
