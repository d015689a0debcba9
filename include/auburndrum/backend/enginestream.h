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
    Complete, ///< the whole answer arrived
    Rejected, ///< the engine found fault with the request; its answer goes to the caller
    Refused, ///< the engine said that it ran nothing
    NotSent, ///< no byte reached the engine
    WrongVersion, ///< it serves, or answered with, another weight version
    WrongAttempt, ///< the answer belongs to another attempt, and was dropped
    Broken, ///< the answer ended early and could not be resumed
};

/// The end of an attempt.
struct EngineEnd
{
    EngineEndKind kind = EngineEndKind::Complete;
    net::HttpHead head;
    QByteArray body; ///< whole body of an answer that is not a stream
    std::chrono::milliseconds retryAfter{0}; ///< set when refused with a time
    bool isLeaving = false; ///< the engine said that it leaves
    std::uint32_t resumes = 0;
};

/// One attempt.
struct EngineAttempt
{
    net::Address server;
    QByteArray target; ///< "/v1/completions" or "/v1/chat/completions"
    QByteArray body; ///< the caller's own
    QByteArray attemptId;
    QByteArray organisation;
    QByteArray pieceKeys;
    QByteArray version; ///< empty accepts any
    QByteArray contentType = "application/json";
    std::uint8_t priority = 5;
    bool isStream = false;
    std::chrono::milliseconds firstByteTimeout{5000};
    std::chrono::milliseconds gapTimeout{2000}; ///< longest silence of a running stream
    std::uint32_t maxResumes = 3;
};

/// Hooks of an EngineStream.
struct EngineHooks
{
    std::function<void(const net::HttpHead &)> onAccepted; ///< a stream whose attempt id and version are right begins
    std::function<void(const QByteArray &)> onEvents; ///< whole events, each once and in order
    std::function<void(const EngineEnd &)> onEnd; ///< once
};

/// @brief One attempt of a prompt at one model engine.
///
/// Checks attempt id and weight version before the first byte is passed on. A stream that goes silent or breaks is
/// resumed behind the last whole event on a fresh connection.
class EngineStream : public std::enable_shared_from_this<EngineStream>
{
public:
    static std::shared_ptr<EngineStream> start(net::HttpClient &http, EngineAttempt attempt, EngineHooks hooks);

    /// Cancels at the engine too. No hook runs afterwards.
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
