#pragma once

#include "auburndrum/net/eventsplitter.h"
#include "auburndrum/net/httpclient.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace auburndrum::backend {

/// How an attempt at a model engine ended.
enum class EngineEndKind {
    Complete, ///< the complete response arrived
    Rejected, ///< the engine rejected the request as invalid (4xx); its response is forwarded to the caller
    Refused, ///< the engine refused with 429 or 503 and did not run the request
    NotSent, ///< no byte reached the engine
    WrongVersion, ///< the engine serves another weight version than the expected one
    WrongAttempt, ///< the response carries another attempt id and was discarded
    Broken, ///< the response failed or ended early and could not be resumed
};

/// Result of an attempt.
struct EngineEnd
{
    EngineEndKind kind = EngineEndKind::Complete;
    net::HttpHead head;
    QByteArray body; ///< complete body of a response that is not a stream
    std::chrono::milliseconds retryAfter{0}; ///< from the Retry-After header; 0 if the engine sent none
    bool isLeaving = false; ///< the engine reported that it is leaving the fleet
    std::uint32_t resumes = 0;
};

/// One attempt to run a completion at an engine.
struct EngineAttempt
{
    net::Address server;
    QByteArray target; ///< "/v1/completions" or "/v1/chat/completions"
    QByteArray body; ///< the caller's body, unchanged
    QByteArray attemptId;
    QByteArray organisation;
    QByteArray pieceKeys;
    QByteArray version; ///< expected weight version; empty accepts any
    QByteArray contentType = "application/json";
    std::uint8_t priority = 5;
    bool isStream = false;
    std::chrono::milliseconds firstByteTimeout{5000};
    std::chrono::milliseconds gapTimeout{2000}; ///< longest time without data on a running stream, and until the first byte of a resume
    std::uint32_t maxResumes = 3;
};

/// Hooks of an EngineStream.
struct EngineHooks
{
    std::function<void(const net::HttpHead &)> onAccepted; ///< a stream with the expected attempt id and weight version started
    std::function<void(const QByteArray &)> onEvents; ///< complete events, each exactly once and in order
    std::function<void(const EngineEnd &)> onEnd; ///< runs once, at the end of the attempt
};

/// @brief One attempt to run a completion at one model engine.
///
/// Checks the attempt id and the weight version before it forwards the first byte. A stream that stalls or breaks is
/// resumed after the last complete event on a new connection.
class EngineStream : public std::enable_shared_from_this<EngineStream>
{
public:
    static std::shared_ptr<EngineStream> start(net::HttpClient &http, EngineAttempt attempt, EngineHooks hooks);

    /// Ends the attempt, also at the engine. No hook runs afterwards.
    void cancel();

private:
    EngineStream(net::HttpClient &http, EngineAttempt attempt, EngineHooks hooks);

    void send();
    void resume();
    void handleHead(const net::HttpHead &head);
    void handleBody(const QByteArray &part);
    void handleDone(const net::HttpResult &result);
    void resumeOrFail();
    void handleStatus(const net::HttpResult &result);
    bool verify(const net::HttpHead &head);
    void end(EngineEndKind kind, const net::HttpResult &result = {});
    net::HttpHooks callHooks();

    net::HttpClient &m_http;
    EngineAttempt m_attempt;
    EngineHooks m_hooks;
    net::EventSplitter m_splitter;
    net::HttpCallHandle m_call;
    std::uint64_t m_eventsAtResume = 0;
    std::uint32_t m_resumes = 0;
    std::uint32_t m_fruitlessResumes = 0;
    bool m_accepted = false;
    bool m_isStreaming = false;
    bool m_ended = false;
};

} // namespace auburndrum::backend
