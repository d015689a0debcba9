#include "auburndrum/decision/traffic/openattempts.h"
#include "forwardedrequest.h"

#include <algorithm>

// Attempts that are open at the same time: a silent one stays open until another server goes on with the request.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

// Two servers may run a request for 400 ms; the end of the older run takes the way to its server, from another region too, off that.
constexpr milliseconds MaxOverlap{300};

decision::OpenAttempt toOpenAttempt(const ForwardAttempt &attempt)
{
    const bool isRunning = attempt.head && isSuccess(attempt.head->status); // a refusal shows no run
    return {isRunning ? attempt.answeredAt : std::nullopt, attempt.lastBytesAt};
}

} // namespace

bool ForwardedRequest::selectAttempt(decision::ResponseMemory::Id id)
{
    if (m_attempt && m_attempt->memoryId == id) {
        return true;
    }
    const auto it = std::find_if(m_otherAttempts.begin(), m_otherAttempts.end(), [id](const ForwardAttempt &attempt) {
        return attempt.memoryId == id;
    });
    if (it == m_otherAttempts.end()) {
        return false;
    }
    std::swap(*m_attempt, *it); // one is the current attempt whenever others are open
    m_isSilenceCertain = false;
    startSilenceTimer();
    return true;
}

bool ForwardedRequest::selectSoundAttempt()
{
    const Instant now = monotonicNow();
    const auto it = std::find_if(m_otherAttempts.begin(), m_otherAttempts.end(), [&](const ForwardAttempt &attempt) {
        return silence(attempt, now) == nullptr;
    });
    return it != m_otherAttempts.end() && selectAttempt(it->memoryId);
}

bool ForwardedRequest::mayStayOpen() const
{
    // A run that ends with a plain answer shows nothing before, so that two of them would be at work for long.
    const bool isPlainRun = m_metadata.prompt && m_route->kind != decision::RequestKind::Streaming;
    // A server can't answer what has not been sent to it, or what the caller has not sent to its end.
    return m_attempt->call.isSent() && m_exchange->isBodyComplete() && !isPlainRun;
}

void ForwardedRequest::keepAttemptOpen()
{
    m_otherAttempts.push_back(std::move(*m_attempt));
    m_attempt.reset();
}

bool ForwardedRequest::resumeSoundAttempt()
{
    const Instant now = monotonicNow();
    const auto it = std::find_if(m_otherAttempts.begin(), m_otherAttempts.end(), [&](const ForwardAttempt &attempt) {
        return silence(attempt, now) == nullptr;
    });
    if (it == m_otherAttempts.end()) {
        return false;
    }
    resumeAttempt(it);
    return true;
}

bool ForwardedRequest::resumeOtherAttempt()
{
    if (m_otherAttempts.empty()) {
        return false;
    }
    if (!resumeSoundAttempt()) {
        resumeAttempt(m_otherAttempts.begin());
    }
    return true;
}

void ForwardedRequest::resumeAttempt(std::vector<ForwardAttempt>::iterator it)
{
    m_attempt = std::move(*it);
    m_otherAttempts.erase(it);
    m_isSilenceCertain = false;
    m_silenceTimer.start(ReplacementCheckInterval);
    checkWeights();
}

void ForwardedRequest::supersedeOtherAttempts()
{
    const auto self = shared_from_this();
    for (ForwardAttempt &it : std::exchange(m_otherAttempts, {})) {
        supersede(it);
    }
}

void ForwardedRequest::supersede(ForwardAttempt &attempt)
{
    const char *result = silence(attempt, monotonicNow());
    if (result != nullptr) {
        recordReplaced(attempt);
    }
    closeOtherAttempt(attempt, result != nullptr ? result : "superseded");
}

void ForwardedRequest::checkOverlap()
{
    if (m_isConcluded || !m_attempt || m_otherAttempts.empty()) {
        m_isOverlapCertain = false;
        return;
    }
    const Instant now = monotonicNow();
    std::vector<decision::OpenAttempt> open = {toOpenAttempt(*m_attempt)};
    std::transform(m_otherAttempts.begin(), m_otherAttempts.end(), std::back_inserter(open), toOpenAttempt);
    const decision::OverlapDecision decision = decision::limitOverlap(open, MaxOverlap, now);
    if (!decision.ending.empty() && !std::exchange(m_isOverlapCertain, true)) {
        m_overlapTimer.start(milliseconds(0)); // what arrived while the event loop was busy is handled first
        return;
    }
    m_isOverlapCertain = false;
    if (decision.checkAt) {
        m_overlapTimer.start(std::chrono::ceil<milliseconds>(*decision.checkAt - now));
    }
    std::vector<decision::ResponseMemory::Id> ending;
    for (const std::size_t it : decision.ending) {
        ending.push_back(it == 0 ? m_attempt->memoryId : m_otherAttempts[it - 1].memoryId);
    }
    const auto isEnding = [&ending](const ForwardAttempt &attempt) {
        return std::find(ending.begin(), ending.end(), attempt.memoryId) != ending.end();
    };
    if (isEnding(*m_attempt)) {
        const auto latest = std::max_element(m_otherAttempts.begin(), m_otherAttempts.end(), [&](const ForwardAttempt &a, const ForwardAttempt &b) {
            return std::pair(!isEnding(a), a.lastBytesAt) < std::pair(!isEnding(b), b.lastBytesAt);
        });
        selectAttempt(latest->memoryId);
    }
    const auto self = shared_from_this();
    for (ForwardAttempt &it : std::exchange(m_otherAttempts, {})) {
        if (isEnding(it)) {
            supersede(it);
            continue;
        }
        m_otherAttempts.push_back(std::move(it));
    }
}

void ForwardedRequest::endOtherAttempts(const char *result)
{
    const auto self = shared_from_this();
    for (ForwardAttempt &it : std::exchange(m_otherAttempts, {})) {
        closeOtherAttempt(it, result);
    }
}

void ForwardedRequest::endOutdatedAttempts()
{
    for (ForwardAttempt &it : std::exchange(m_otherAttempts, {})) {
        if (it.head || timeToOutdated(it).count() > 0) {
            m_otherAttempts.push_back(std::move(it));
            continue;
        }
        closeOtherAttempt(it, "outdated_weights");
    }
}

void ForwardedRequest::closeOtherAttempt(ForwardAttempt &attempt, const char *result)
{
    ++m_deliveries;
    recordAttempt(attempt, result);
    attempt.call.cancel();
}

} // namespace auburndrum::gateway
