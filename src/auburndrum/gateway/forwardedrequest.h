#pragma once

#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/relayedrequest.h"
#include "auburndrum/net/eventsplitter.h"
#include "auburndrum/net/exchange.h"
#include "requestrecord.h"

#include <QTimer>

#include <memory>
#include <optional>

namespace auburndrum::gateway {

inline bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// One attempt of a request at one backend server.
struct ForwardAttempt
{
    decision::ServerChoice choice;
    net::HttpCallHandle call;
    Instant sentAt{};
    std::string incarnation; ///< the server's process, for evidence on crashes
    Instant sentAtSuspendAware{};
    std::uint32_t ownRequests = 0; ///< of this VM at the server, this one included
    std::optional<Instant> firstEventAt;
    std::optional<Instant> answeredAt; ///< when its answer began
    Instant lastBytesAt{}; ///< when a part of the response's body last arrived, or reading went on after a pause
    bool isReadingPaused = false; ///< while the caller takes the bytes slowly
    bool isSilenceRecorded = false; ///< whether the silence was counted as the server's failure
    std::string keptDespite; ///< the silence for which another server was to take over; empty while there was none
    bool hasResponded = false; ///< whether the first event was reported to the chooser
    bool hasEvents = false; ///< whether an event of it, rather than a comment, was accepted
    std::optional<net::HttpHead> head;
    AnswerMetadata metadata;
    QByteArray body; ///< buffered until the response is complete
    decision::ResponseMemory::Id memoryId = 0;
    net::EventSplitter events;
    bool goesOn = false; ///< it was sent to go on with a stream of which the caller has events
    std::string vm; ///< the entry VM that the request was passed on to; empty for an attempt at a backend server
    bool isPassedOn() const
    {
        return !vm.empty();
    }
    qint64 unacknowledgedBytes = 0; ///< of the request, when its caller left
    std::uint32_t foreignAnswers = 0; ///< answers on its connection that were not the request's
    bool endedByClose = false; ///< only the end of the connection marked the end of the response
};

/// @brief Forwards one caller's request: chooses servers, retries where allowed, returns the response and enforces the caller's timeout.
///
/// The hooks of its exchange and of the open calls keep it alive.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    /// Who sent the request to this VM.
    enum class Source {
        Caller,
        EntryVm, ///< it is passed on for a caller of a VM that reaches no server; it isn't passed on again
    };

    ForwardedRequest(GatewayState &state, std::shared_ptr<net::Exchange> exchange, Source source);
    ~ForwardedRequest();

    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    /// Starts the request, which ends with exactly one final response unless the caller disconnects.
    void start();
    /// Moves the deadline forward to the end of a planned stop.
    void endWithStop();
    /// Gives the request its final answer, at its deadline or at the end of a planned stop.
    void handleTimeout();

private:
    static constexpr qint64 PauseAboveBytes = 64 * 1024; ///< above this number of unsent bytes to a slow caller or server, reading from the sender pauses

    static constexpr std::chrono::milliseconds MinAttemptTime{50}; ///< with less time left a further attempt can't complete
    static constexpr std::uint32_t MaxAttempts = 4; ///< attempts of one request, including those that reached no server
    /// Between checks while a request stays at a silent server because no other one can be asked.
    static constexpr std::chrono::milliseconds ReplacementCheckInterval{100};

    /// How far an attempt got.
    enum class Delivery {
        NotSent, ///< no byte was sent
        WrongServer, ///< reached a server that refused it, and that doesn't count as one it was sent to
        Uncounted, ///< the servers that it may have reached have been counted, where they count
        Delivered,
    };

    // Sending to a server, in forwardedrequest.cpp.
    bool authorise();
    /// Whether the request ends before the VM does, as far as the route's latest ones tell.
    bool canEndBeforeStop() const;
    /// Refuses a request that the configuration doesn't allow, for good only where this VM can't have missed a configuration that does.
    void rejectUnknown(int status, const char *reason);
    void chooseService();
    void sendFirst();
    void tryNextServer();
    decision::ServerQuery makeQuery() const;
    /// @{ The software that began the stream, in forwardedorigin.cpp.
    bool isTakeUp() const;
    /// Whether so many requests wait at the best server that this one should be refused.
    bool isTooBusy(const decision::ServerChoice &choice) const;
    /// Whether the request would begin there before its deadline.
    bool canStartInTime(const decision::ServerChoice &choice) const;
    /// Finds out who began the stream that the caller takes up, then sends the request there or refuses it.
    void seekOrigin();
    void handleOrigin(const OriginFinding &finding);
    /// Remembers the software of the server that sends the first events.
    void recordOrigin();
    /// @}
    void send(const decision::ServerChoice &choice);
    net::HttpCall makeCall(const decision::ServerChoice &choice) const;
    /// The parts of a call that don't depend on where it goes.
    net::HttpCall makeCall(std::chrono::milliseconds timeLeft) const;
    void startCall(const net::HttpCall &call);
    void addCacheMetadata(const decision::ServerChoice &choice, ForwardMetadata &metadata) const;
    /// Whether an answer on the attempt's connection is shown to be this request's. Another one is skipped.
    bool isOwnAnswer(const net::HttpHead &head);
    void handleHead(const net::HttpHead &head);
    void handleBody(const QByteArray &part);
    void handleEvents(const QByteArray &part);
    /// The first of these whole events that follow those which the caller has; `areAll` tells whether all do.
    QByteArray acceptEvents(const QByteArray &events, bool &areAll);
    /// Ends an attempt whose events are not the stream's next ones.
    void giveUpStream(const char *result);
    void forwardToCaller(const QByteArray &bytes);
    void handleDone(const net::HttpResult &result);
    void handleCompleteAnswer();
    /// Counts what the response holds in memory, and gives up the one that holds too much.
    void countHeldBytes();
    void handleFailedCall(const net::HttpResult &result);
    /// Whether the events show that the stream ended before its end, however its framing ended.
    bool isStreamBrokenOff() const;
    void finishStream();
    /// @{ Evidence on requests that crash their servers, in forwardedcrash.cpp.
    void startFingerprint();
    void addToFingerprint(const QByteArray &part, bool last);
    /// Whether the request must wait for its body: it may be one that is kept away.
    bool mustReadBody() const;
    /// Reads the whole body before the request is sent; refuses the request where that takes too much memory.
    void holdBody(const QByteArray &part, bool last);
    void releaseHeldBody();
    bool isKeptAway();
    void recordResponse();
    void recordWholeResponse();
    /// Counts the end of the attempt's connection as its server's, for the time being.
    void recordCrash();
    void recordRefusedConnection();
    /// @}
    /// @{ Connections that end under the request, in forwardedloss.cpp.
    /// Has this VM's path checked, and sends the request again after that where it may be.
    void handleLostConnection(const net::HttpResult &result);
    void retryAfterPathCheck();
    /// Takes losses that turn out to be of this VM's path off the servers that the request reached.
    void excusePathLosses();
    /// @}
    /// @{ Limits that servers name, in forwardedlimit.cpp.
    void recordLimit();
    /// Whether the server is brittle, and what its answer shows of its room.
    void recordRoom();
    /// What the server asks of this VM for itself.
    void recordWords(const std::string &server);
    /// Time until one of the service's servers, all of which want a rest, wants requests again.
    std::chrono::milliseconds soonestRestEnd() const;
    /// Time until this VM may send a request to one of the service's servers, all of which are limited.
    std::chrono::milliseconds promisePermit();
    /// @}
    /// @{ Passing on to another entry VM, in forwardedpeer.cpp.
    /// While this VM is cut off from all servers, passes the request on, or refuses one that was passed on to it. False: it is to be sent to a server.
    bool passOnIfCut();
    bool passOn();
    /// Another entry VM that this request may be passed on to.
    std::optional<decision::EntryVm> chooseVm() const;
    void sendToVm(const decision::EntryVm &vm);
    net::HttpCall makeCallTo(const decision::EntryVm &vm) const;
    /// Handles what the other VM itself answers; false for the answer of a backend server.
    bool handleVmAnswer();
    /// Sends a request on that the VM which it was passed on to could not serve, and that may have run there.
    void retryAfterVm(const RelayedAnswer &answer);
    void handleFailedVm(const net::HttpResult &result);
    void refuseWithoutPath();
    std::vector<net::Header> answerHeaders(const net::HttpHead &head) const;
    /// Id of the caller's attempt that received, or will receive, the stream's first event.
    std::string streamAttempt() const;
    /// Id of the last event that the caller has; empty before the first one.
    std::string lastEventId() const;
    /// @}
    void retryOrConclude(bool mayHaveRun, Delivery delivery);
    /// Whether limits other than the service's retry allowance let the request be sent once more after it has reached this many servers.
    bool canBeSentAgain(std::uint32_t deliveries) const;
    /// Why the request must not run again, whatever its limits; an empty text when it may.
    const char *obstacleToRepeating() const;
    /// Takes a retry; returns which limit forbids that, or an empty text.
    const char *acquireRetry(Delivery delivery);
    void endAttempt(const char *result);
    void recordAttempt(const ForwardAttempt &attempt, const char *result);
    /// @{ Attempts that are open at the same time, in forwardedattempts.cpp.
    /// Makes the open attempt with this id the current one; false when that one has ended.
    bool selectAttempt(decision::ResponseMemory::Id id);
    /// Whether the current attempt may stay open while another server is asked.
    bool mayStayOpen() const;
    /// Leaves the current attempt open while another server is asked.
    void keepAttemptOpen();
    /// Ends the other open attempts, because the current one goes on.
    void supersedeOtherAttempts();
    /// Ends attempts where two servers have run the request for long enough, and sets the timer for the next check.
    void checkOverlap();
    /// Ends the other open attempts, because the request ends.
    void endOtherAttempts(const char *result);
    /// Ends the other attempts that have not begun and must not begin any more, because their weights are outdated.
    void endOutdatedAttempts();
    /// Makes another open attempt that isn't silent the current one; false when there is none.
    bool selectSoundAttempt();
    /// Goes on with another open attempt, one that isn't silent if there is one; false when none is open.
    bool resumeOtherAttempt();
    /// Goes on with another open attempt that isn't silent, as one that has just been sent; false when there is none.
    bool resumeSoundAttempt();
    void resumeAttempt(std::vector<ForwardAttempt>::iterator it);
    /// Ends one of the other open attempts, because another server goes on.
    void supersede(ForwardAttempt &attempt);
    void closeOtherAttempt(ForwardAttempt &attempt, const char *result);
    /// Servers that the request was sent to, without that of the current attempt.
    std::uint32_t otherDeliveries() const
    {
        return m_deliveries + static_cast<std::uint32_t>(m_otherAttempts.size());
    }
    /// @}

    /// @{ How the request ends for its caller, in forwardedend.cpp.
    /// Whether a status states to the caller that its request has not run.
    static bool meansNotRun(int status);
    void concludeWithoutAnswer();
    void refuse(int status, const char *reason);
    void respond(const net::HttpHead &head, const QByteArray &body);
    void abortStream(const char *reason);
    void handleCallerGone();
    /// Ends the request when its caller has closed the connection, whether that was read or not. Asked before each attempt.
    bool endIfCallerGone();
    void conclude(Outcome outcome, int status, const char *reason);
    /// @}
    /// @{ Waiting for the response, in forwardedwait.cpp.
    void connectTimers();
    void startSilenceTimer();
    void checkSilence();
    void checkWeights();
    /// Why the attempt counts as silent: the result that it ends with if it is moved. Null while it doesn't.
    const char *silence(const ForwardAttempt &attempt, Instant now) const;
    /// Whether a response that has begun counts as silent after some time: otherwise it can't go on elsewhere, or may pause for any time.
    bool hasSilenceLimit() const
    {
        return m_route->isResumable && m_route->maxEventGap.count() > 0;
    }
    /// Time until a request that has not begun must not begin on its server's weights any more; the longest time while they are current.
    std::chrono::milliseconds timeToOutdated(const ForwardAttempt &attempt) const;
    /// Pauses reading from the server while its caller takes the bytes slowly.
    void setReadingPaused(bool paused);
    /// Pauses reading the caller's body while its server takes the bytes slowly.
    void setBodyPaused(bool paused);
    /// Waits to try again, where the caller has a part of the stream and time is left; ends the request otherwise.
    void waitOrConclude();
    /// Ends the attempt without a replacement at hand, because it must not go on, and sends the request to another server where that is allowed.
    void takeBack(const char *result);
    /// @{ What the connection shows of this VM's path to the servers.
    void recordReached();
    void recordUnreachable(std::chrono::milliseconds waited);
    /// @}
    /// @}
    /// @{ Moving a request whose server is silent, in forwardedmove.cpp.
    /// A server, or an entry VM with a path to the servers, that can take over a request at once.
    struct Replacement
    {
        std::optional<decision::ServerChoice> server;
        std::optional<decision::EntryVm> vm;
    };
    /// Sends the request to another server. The silent attempt stays open until one of the two goes on, as its server may be sound and answer yet.
    void moveIfReplaceable(const char *result);
    bool mayBeMoved() const;
    /// Counts the silence as the server's failure, once for each attempt.
    void recordSilence(ForwardAttempt &attempt);
    /// The same where another server is to take over or has taken over; a VM that it was passed on to counts as silent, too.
    void recordReplaced(ForwardAttempt &attempt);
    std::optional<Replacement> findReplacement() const;
    /// @}
    std::chrono::milliseconds timeLeft() const;
    bool isEventStream() const;

    GatewayState &m_state;
    std::shared_ptr<net::Exchange> m_exchange;
    std::shared_ptr<const decision::Configuration> m_configuration; ///< the configuration that this request is handled by
    const decision::Route *m_route = nullptr;
    const decision::Organisation *m_organisation = nullptr;
    RequestMetadata m_metadata;
    RequestRecord m_record;
    std::string m_service;
    QTimer m_deadlineTimer; ///< ends the request at its deadline
    QTimer m_silenceTimer; ///< checks for a server that gives no response
    bool m_isSilenceCertain = false; ///< whether all that had arrived was handled before the next check
    QTimer m_overlapTimer; ///< ends all but one of the attempts whose servers run the request
    bool m_isOverlapCertain = false; ///< whether all that had arrived was handled before the next check
    QTimer m_pathCheckTimer; ///< sends the request again after a lost connection
    QTimer m_waitTimer; ///< tries again to send a stream on that has begun
    std::optional<Instant> m_waitsSince; ///< when a stream that has begun found no server first since its last event
    QTimer m_weightsTimer; ///< checks the server's weights while the request waits there
    Instant m_startedAt{}; ///< when the request was passed to this object; its bytes may have taken longer to arrive
    Instant m_deadline{};
    std::optional<ForwardAttempt> m_attempt; ///< the current one
    std::vector<ForwardAttempt> m_otherAttempts; ///< open beside the current one until the first of them goes on
    Source m_source;
    decision::ServerChoice m_answeringServer; ///< that sent the response which is passed on
    std::vector<std::string> m_triedServers;
    std::vector<std::string> m_triedVms; ///< entry VMs that the request was passed on to
    bool m_hasNoPath = false; ///< this VM reaches no server of the service
    std::uint32_t m_deliveries = 0; ///< number of backend servers that the request reached by attempts that have ended
    std::uint32_t m_attemptCount = 0;
    decision::CrashDecision m_crashDecision; ///< whether a request with these marks may be sent
    decision::RequestMarks m_marks; ///< with the whole request's own once its body was read
    std::optional<decision::RequestFingerprint> m_fingerprint;
    std::optional<QByteArray> m_heldBody; ///< body of a request that is not sent before it was read
    bool m_wasLost = false; ///< a connection to a server ended before the response
    std::vector<Instant> m_lossTimes; ///< of the connections that ended under the request and are put down to their servers
    bool m_wasResetUnanswered = false; ///< a new connection to a server ended before a response began
    bool m_mayHaveRun = false;
    bool m_isBodyRepeatable = true;
    bool m_isBodyPaused = false; ///< for the server's sake
    bool m_isStreaming = false; ///< whether the response head, and maybe parts of the body, were sent to the caller
    bool m_isConcluded = false;
    /// Retry delay for a refused caller, long enough for a restart or a refusal to pass; empty when coming back is of no use.
    std::optional<std::chrono::milliseconds> m_retryAfter{500};
    std::optional<decision::EventSequence> m_events; ///< of the stream, those before a take-up included; set once the service is known
    std::optional<decision::StreamOrigin> m_origin; ///< of a stream that has begun, in this answer or in one before; as the VM told that passed it on
    std::optional<std::pair<net::HttpHead, QByteArray>> m_serverFailure; ///< forwarded when no other server returns a better response
};

} // namespace auburndrum::gateway
