#include "forwardedrequest.h"

#include <algorithm>

// Attempts that are open at the same time: a silent one stays open until another server goes on with the request.

namespace auburndrum::gateway {

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
    const Instant now = monotonicNow();
    for (ForwardAttempt &it : std::exchange(m_otherAttempts, {})) {
        const char *result = silence(it, now);
        if (result != nullptr) {
            recordReplaced(it);
        }
        closeOtherAttempt(it, result != nullptr ? result : "superseded");
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
