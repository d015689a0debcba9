#include "auburndrum/decision/traffic/urgency.h"
#include "forwardedrequest.h"

// What is watched while a request waits at a server, and what its connection shows.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds SilenceCheckInterval{400}; // also in which requests at servers are moved once this VM is cut off from them
// Target latencies without a response after which the gateway checks whether the server is silent rather than busy.
constexpr int SilenceCheckInTargetLatencies = 2;
// Target latencies without any response to this VM after which a server counts as silent; a busy one may respond rarely.
constexpr int MaxSilenceInTargetLatencies = 4;
// A stream counts as silent after this many times its route's longest event gap without a byte.
constexpr int MaxSilenceInEventGaps = 4;
// Longest time for which a stream that has begun waits for a server: the shortest gap after which callers abandon one.
constexpr milliseconds MaxServerWait{2000};
constexpr milliseconds MinServerWait{100}; // between two tries, also where a refusal names a shorter time
// Longest time between checks of the weights at which a request waits; short against the limit for outdated weights.
constexpr milliseconds WeightsCheckInterval{250};
// Reserve before that limit: the closed connection must reach the server, from another region too, before it begins the request.
constexpr milliseconds TakeBackMargin{300};

} // namespace

void ForwardedRequest::connectTimers()
{
    const auto connect = [this](QTimer &timer, Qt::TimerType type, void (ForwardedRequest::*handle)()) {
        timer.setSingleShot(true);
        timer.setTimerType(type);
        QObject::connect(&timer, &QTimer::timeout, &timer, [this, handle] {
            const auto self = shared_from_this();
            (this->*handle)();
        });
    };
    // A coarse timer is off by up to 5%.
    connect(m_deadlineTimer, Qt::PreciseTimer, &ForwardedRequest::handleTimeout);
    connect(m_silenceTimer, Qt::CoarseTimer, &ForwardedRequest::checkSilence);
    connect(m_weightsTimer, Qt::PreciseTimer, &ForwardedRequest::checkWeights);
    connect(m_waitTimer, Qt::PreciseTimer, &ForwardedRequest::tryNextServer);
    connect(m_overlapTimer, Qt::PreciseTimer, &ForwardedRequest::checkOverlap);
    connect(m_pathCheckTimer, Qt::PreciseTimer, &ForwardedRequest::retryAfterPathCheck);
}

void ForwardedRequest::startSilenceTimer()
{
    m_silenceTimer.start(SilenceCheckInterval);
}

void ForwardedRequest::checkSilence()
{
    if (m_isConcluded || !m_attempt) {
        return;
    }
    const Instant now = monotonicNow();
    if (m_route->kind != decision::RequestKind::Streaming && !m_otherAttempts.empty()) {
        // A plain answer shows nothing before its end. A server that hasn't refused by then has taken the request, and two runs would cost others their places.
        const auto left = std::chrono::ceil<milliseconds>(m_attempt->sentAt + SilenceCheckInterval - now);
        if (left.count() > 0) {
            m_silenceTimer.start(left);
            return;
        }
        supersedeOtherAttempts();
    }
    if (otherDeliveries() + 1 >= m_route->maxServers || (m_attempt->head && !hasSilenceLimit())) {
        return;
    }
    const char *result = silence(*m_attempt, now);
    if (result != nullptr && !std::exchange(m_isSilenceCertain, true)) {
        m_silenceTimer.start(milliseconds(0)); // what arrived while the event loop was busy is handled first
        return;
    }
    m_isSilenceCertain = false;
    if (result != nullptr) {
        if (!selectSoundAttempt()) {
            moveIfReplaceable(result);
        }
        return;
    }
    if (m_attempt->head && !m_attempt->isReadingPaused) {
        const auto left = std::chrono::ceil<milliseconds>(m_attempt->lastBytesAt + m_route->maxEventGap * MaxSilenceInEventGaps - now);
        m_silenceTimer.start(std::min(left, SilenceCheckInterval));
        return;
    }
    startSilenceTimer();
}

const char *ForwardedRequest::silence(const ForwardAttempt &attempt, Instant now) const
{
    if (attempt.head && !hasSilenceLimit()) {
        return nullptr;
    }
    if (attempt.head) {
        const bool isSilent = !attempt.isReadingPaused && now - attempt.lastBytesAt >= m_route->maxEventGap * MaxSilenceInEventGaps;
        return isSilent ? net::toText(net::HttpFailure::IdleTimeout) : nullptr;
    }
    if (m_state.serverPath.isCut() && !attempt.isPassedOn()) {
        return "cut_off";
    }
    // A server that responds to other requests is busy; sending the request to another one as well would only add load.
    const auto lastAnswerAt = m_state.chooser.lastAnswerAt(attempt.choice.id);
    const bool isBusy = lastAnswerAt && now - *lastAnswerAt < m_route->targetLatency * MaxSilenceInTargetLatencies;
    const bool isEarly = now - attempt.sentAt < m_route->targetLatency * SilenceCheckInTargetLatencies;
    return isBusy || isEarly ? nullptr : "silent";
}

void ForwardedRequest::setReadingPaused(bool paused)
{
    if (m_attempt->isReadingPaused == paused) {
        return;
    }
    m_attempt->isReadingPaused = paused;
    m_attempt->lastBytesAt = monotonicNow();
    m_attempt->call.setReadingPaused(paused);
}

void ForwardedRequest::setBodyPaused(bool paused)
{
    if (m_isBodyPaused != paused) {
        m_isBodyPaused = paused;
        m_exchange->setBodyPaused(paused);
    }
}

void ForwardedRequest::checkWeights()
{
    if (m_isConcluded || !m_metadata.prompt || !m_attempt) {
        return;
    }
    endOutdatedAttempts();
    milliseconds timeLeft = m_attempt->head ? milliseconds::max() : timeToOutdated(*m_attempt);
    if (timeLeft.count() <= 0) {
        takeBack("outdated_weights");
        return;
    }
    bool hasBegun = m_attempt->head.has_value(); // which the response's head says
    for (const ForwardAttempt &it : m_otherAttempts) {
        if (it.head) {
            continue;
        }
        hasBegun = false;
        timeLeft = std::min(timeLeft, timeToOutdated(it));
    }
    if (!hasBegun) {
        // Checked again before that: the limit may change meanwhile, and timers don't count the time in which the VM is suspended.
        m_weightsTimer.start(std::min(timeLeft, WeightsCheckInterval));
    }
}

milliseconds ForwardedRequest::timeToOutdated(const ForwardAttempt &attempt) const
{
    if (attempt.isPassedOn()) {
        return milliseconds::max(); // the other VM watches the weights of the server that it chooses
    }
    const auto named = m_state.weights.find(m_metadata.prompt->model);
    const auto replacedSince = named == m_state.weights.end() ? std::nullopt : named->second.replacedSince(attempt.choice.weightVersion);
    if (!replacedSince) {
        return milliseconds::max();
    }
    const Instant latest = *replacedSince + m_state.outdatedWeightsLimit - TakeBackMargin;
    return std::chrono::ceil<milliseconds>(latest - suspendAwareNow());
}

void ForwardedRequest::recordReached()
{
    const bool isOtherServer = m_attempt->head && m_attempt->head->status == 421; // which has the address now
    const std::string_view server = isOtherServer ? std::string_view() : std::string_view(m_attempt->choice.id);
    if (!m_attempt->isPassedOn() && m_state.serverPath.onReached(server, suspendAwareNow()) && m_state.onPathRegained) {
        m_state.onPathRegained();
    }
}

void ForwardedRequest::recordUnreachable(milliseconds waited)
{
    if (m_state.onServerUnreachable) {
        m_state.onServerUnreachable(m_attempt->choice.id, waited);
    }
}

void ForwardedRequest::waitOrConclude()
{
    const milliseconds delay = std::max(m_retryAfter.value_or(milliseconds(0)), MinServerWait);
    if (resumeOtherAttempt()) {
        m_triedVms.clear();
        m_silenceTimer.start(std::min(delay, MaxServerWait));
        return;
    }
    const bool mayGoOn = m_isStreaming && m_route->isResumable && m_isBodyRepeatable && m_deliveries < m_route->maxServers;
    const Instant triesAt = monotonicNow() + delay;
    const Instant waitsSince = m_waitsSince.value_or(monotonicNow());
    const bool hasTime = m_retryAfter && triesAt - waitsSince <= MaxServerWait && timeLeft() >= delay + MinAttemptTime;
    if (!mayGoOn || !hasTime || !m_state.retryAllowance(m_service).tryAcquire(monotonicNow())) {
        concludeWithoutAnswer();
        return;
    }
    m_waitsSince = waitsSince;
    m_triedVms.clear();
    m_waitTimer.start(delay);
}

void ForwardedRequest::takeBack(const char *result)
{
    const auto self = shared_from_this();
    net::HttpCallHandle call = m_attempt->call;
    endAttempt(result);
    call.cancel();
    retryOrConclude(true, Delivery::Delivered);
}

bool ForwardedRequest::isTooBusy(const decision::ServerChoice &choice) const
{
    // What may have run, and a stream that has begun, goes on also where it waits: its caller couldn't be told that it has not run.
    if (!m_mayHaveRun && lastEventId().empty() && decision::isQueueTooLong(choice.expectedWait, choice.idlePrefill, m_route->targetLatency)) {
        return true;
    }
    return !canStartInTime(choice);
}

bool ForwardedRequest::canStartInTime(const decision::ServerChoice &choice) const
{
    return decision::canStartInTime(choice.expectedWait, std::chrono::floor<std::chrono::microseconds>(m_deadline - monotonicNow()));
}

} // namespace auburndrum::gateway
