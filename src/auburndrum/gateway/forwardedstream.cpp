#include "forwardedrequest.h"

// Which events of a stream reach the caller, and what counts as its end.

namespace auburndrum::gateway {

namespace {

constexpr int StatusOk = 200;

} // namespace

bool ForwardedRequest::isEventStream() const
{
    return m_route->kind == decision::RequestKind::Streaming && m_attempt->head && m_attempt->head->status == StatusOk && m_attempt->metadata.isSealed
        && !m_attempt->metadata.isEncoded;
}

void ForwardedRequest::handleEvents(const QByteArray &part)
{
    recordReached();
    bool areAll = true;
    const QByteArray events = acceptEvents(m_attempt->events.feed(part), areAll);
    if (!areAll && events.isEmpty()) {
        giveUpStream("out_of_order");
        return;
    }
    if (events.isEmpty()) {
        countHeldBytes();
        return;
    }
    if (!m_attempt->hasResponded) {
        m_attempt->hasResponded = true;
        m_attempt->firstEventAt = monotonicNow();
        m_state.chooser.onFirstEvent(m_attempt->choice, std::chrono::floor<std::chrono::microseconds>(monotonicNow() - m_attempt->sentAt), monotonicNow());
    }
    recordOrigin();
    if (m_attempt->hasEvents) {
        supersedeOtherAttempts();
    }
    forwardToCaller(events);
    if (!areAll) {
        giveUpStream("out_of_order");
        return;
    }
    countHeldBytes();
}

QByteArray ForwardedRequest::acceptEvents(const QByteArray &events, bool &areAll)
{
    qsizetype accepted = 0;
    for (const net::EventSpan &it : net::eventsIn(events)) {
        const std::string id = it.id ? it.id->toStdString() : std::string();
        if (it.isEvent && !m_events->accept(it.id ? std::optional<std::string_view>(id) : std::nullopt, m_attempt->goesOn)) {
            areAll = false;
            break;
        }
        m_attempt->hasEvents = m_attempt->hasEvents || it.isEvent;
        accepted = it.end;
    }
    return areAll ? events : events.left(accepted);
}

void ForwardedRequest::giveUpStream(const char *result)
{
    m_state.chooser.recordFailure(m_attempt->choice.id, monotonicNow(), m_state.random);
    takeBack(result);
}

void ForwardedRequest::forwardToCaller(const QByteArray &bytes)
{
    if (!m_isStreaming) {
        m_isStreaming = true;
        m_record.firstByteAt = monotonicNow();
        m_answeringServer = m_attempt->choice;
        m_exchange->startStream(m_attempt->head->status, answerHeaders(*m_attempt->head));
    }
    m_waitsSince.reset();
    m_exchange->writeChunk(bytes);
    if (m_exchange->unsentBytes() > PauseAboveBytes) {
        setReadingPaused(true);
    }
}

bool ForwardedRequest::isStreamBrokenOff() const
{
    // A connection that closes before the first event shows that the server ended, not that its stream is empty. A run that was to go on with a stream and
    // brings no event shows nothing of that stream, so its end isn't the stream's either.
    const bool isEmpty = m_attempt->events.events() == 0;
    return m_attempt->events.incompleteEventBytes() > 0 || (isEmpty && (m_attempt->endedByClose || m_attempt->goesOn));
}

void ForwardedRequest::finishStream()
{
    if (isStreamBrokenOff()) {
        const bool isWholeAnswer = !m_attempt->endedByClose && m_attempt->events.incompleteEventBytes() == 0;
        if (!isWholeAnswer) {
            recordCrash();
        }
        m_state.chooser.recordFailure(m_attempt->choice.id, monotonicNow(), m_state.random);
        endAttempt(isWholeAnswer ? "no_events" : "broken_stream");
        retryOrConclude(true, Delivery::Delivered);
        return;
    }
    m_state.chooser.recordSuccess(m_attempt->choice.id);
    recordWholeResponse();
    if (!m_isStreaming) {
        forwardToCaller({});
    }
    const int status = m_attempt->head->status;
    endAttempt("served");
    m_exchange->finishStream();
    conclude(Outcome::Served, status, "");
}

} // namespace auburndrum::gateway
