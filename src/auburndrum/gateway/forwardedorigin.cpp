#include "forwardedrequest.h"

#include <algorithm>

// Which software a stream may go on at.

namespace auburndrum::gateway {

namespace {

constexpr std::chrono::milliseconds UnansweredRetryDelay{1000}; // until a VM that may know the origin is likely to answer again

} // namespace

bool ForwardedRequest::isTakeUp() const
{
    return m_route->kind == decision::RequestKind::Streaming && !m_metadata.lastEventId.empty();
}

std::string ForwardedRequest::lastEventId() const
{
    return m_events ? m_events->lastId() : m_metadata.lastEventId;
}

void ForwardedRequest::seekOrigin()
{
    if (m_origin) { // the VM that passed the request on has told it
        handleOrigin({.origin = m_origin});
        return;
    }
    if (!m_exchange->isBodyComplete()) {
        m_exchange->setBodyPaused(true);
    }
    m_state.findOrigin(m_metadata.resumedAttempt, [self = shared_from_this()](const OriginFinding &finding) {
        self->handleOrigin(finding);
    });
}

void ForwardedRequest::handleOrigin(const OriginFinding &finding)
{
    if (m_isConcluded) {
        return;
    }
    m_record.originFinding = finding;
    m_state.metrics.streamOrigins.with({finding.origin ? "found" : "unknown"}).Increment();
    if (!finding.origin) {
        m_retryAfter = finding.mayBeToldLater ? std::optional(UnansweredRetryDelay) : std::nullopt;
        refuse(503, "the software version that began the stream is unknown");
        return;
    }
    const bool isOnRoute = std::any_of(m_route->targets.begin(), m_route->targets.end(), [&](const decision::RouteTarget &it) {
        return it.service == finding.origin->service;
    });
    if (!isOnRoute) {
        m_retryAfter.reset();
        refuse(503, "the service that began the stream has left the route");
        return;
    }
    m_origin = finding.origin;
    m_service = m_origin->service;
    m_record.service = m_service;
    if (!m_exchange->isBodyComplete()) {
        m_exchange->setBodyPaused(false);
    }
    sendFirst();
}

void ForwardedRequest::recordOrigin()
{
    if (!m_route->isResumable || m_isStreaming || m_attempt->choice.softwareVersion.empty()) {
        return;
    }
    // A stream that was taken up is recorded again, since VMs that knew its origin may have gone.
    m_origin = decision::StreamOrigin{m_service, m_attempt->choice.softwareVersion};
    m_state.recordOrigin(streamAttempt(), *m_origin);
}

} // namespace auburndrum::gateway
