#pragma once

#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/net/eventsplitter.h"
#include "auburndrum/net/exchange.h"
#include "requestrecord.h"

#include <QTimer>

#include <memory>
#include <optional>

namespace auburndrum::gateway {

/// The request at one backend server.
struct ForwardAttempt
{
    decision::ServerChoice choice;
    net::HttpCallHandle call;
    Instant sentAt{};
    bool hadAnswer = false; ///< the chooser knows of its first event
    std::optional<net::HttpHead> head;
    AnswerFacts facts;
    QByteArray body; ///< held back until the answer is whole
    net::EventSplitter events;
};

/// @brief One caller's request on its way: chosen servers, what may be repeated, the answer, and the caller's patience.
///
/// Keeps itself alive through the hooks of its exchange and of the call under way.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(GatewayState &state, std::shared_ptr<net::Exchange> exchange);

    /// Takes the request; it ends with exactly one final answer unless the caller leaves.
    void start();

private:
    static constexpr qint64 PauseAboveBytes = 256 * 1024; ///< waiting for a slow caller or server; whoever sends is slowed down above it

    /// Whom an attempt reached.
    enum class Reached {
        Nobody, ///< no byte of it left
        OtherServer, ///< one that refused it as not meant for it
        Server,
    };

    // The way to a server, in forwardedrequest.cpp.
    bool authorise();
    void chooseService();
    void attempt();
    void send(const decision::ServerChoice &choice);
    net::HttpCall makeCall(const decision::ServerChoice &choice) const;
    void addCacheFacts(const decision::ServerChoice &choice, ForwardFacts &facts) const;
    void handleHead(const net::HttpHead &head);
    void handleBody(const QByteArray &part);
    void handleEvents(const QByteArray &part);
    void passOn(const QByteArray &bytes);
    void handleDone(const net::HttpResult &result);
    void handleWholeAnswer();
    void handleBrokenAnswer(const net::HttpResult &result);
    void finishStream();
    void retryOrConclude(bool mayHaveRun, Reached reached);
    bool mayTryAgain(Reached reached);
    void concludeWithoutAnswer();
    void leaveServer(const char *result);

    void refuse(int status, const char *reason);
    void answerWith(const net::HttpHead &head, const QByteArray &body);
    void cutStream(const char *reason);
    void checkSilence();
    void handleTimeout();
    void handleCallerGone();
    void conclude(Outcome outcome, int status, const char *reason);
    std::chrono::milliseconds timeLeft() const;
    bool isEventStream() const;

    GatewayState &m_state;
    std::shared_ptr<net::Exchange> m_exchange;
    std::shared_ptr<const decision::Configuration> m_configuration; ///< the one that this request is handled by
    const decision::Route *m_route = nullptr;
    const decision::Organisation *m_organisation = nullptr;
    RequestFacts m_facts;
    RequestRecord m_record;
    std::string m_service;
    QTimer m_timer; ///< of the caller's patience
    QTimer m_silenceCheck; ///< of a server that gave no answer
    Instant m_deadline{};
    std::optional<ForwardAttempt> m_attempt;
    std::vector<std::string> m_tried;
    std::uint32_t m_arrivals = 0; ///< backend servers that it reached
    std::uint32_t m_sends = 0;
    bool m_mayHaveRun = false;
    bool m_bodyRepeatable = true;
    bool m_streaming = false; ///< the caller has the head of the answer and maybe parts of it
    bool m_concluded = false;
    std::chrono::milliseconds m_returnAfter{500}; ///< told to a caller that is turned away; long enough for a restart or a refusal to pass
    std::string m_lastEventId; ///< of the last event that was passed on
    std::optional<std::pair<net::HttpHead, QByteArray>> m_serverFailure; ///< passed on when no other server does better
};

} // namespace auburndrum::gateway
