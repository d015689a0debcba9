#include "forwardedrequest.h"

#include <algorithm>

// Whether a request may begin: what the configuration says of it, and whether there is time for it in a planned stop.

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

} // namespace

bool ForwardedRequest::authorise()
{
    if (!m_configuration->requiresApiKeys || m_route->isPublic) {
        return true;
    }
    m_organisation = m_configuration->findOrganisation(m_metadata.apiKey);
    if (m_organisation != nullptr) {
        m_record.organisation = m_organisation->name;
    }
    return m_organisation != nullptr;
}

void ForwardedRequest::rejectUnknown(int status, const char *reason)
{
    if (m_record.configurationUnreadFor && *m_record.configurationUnreadFor <= m_state.changeTime) {
        refuse(status, reason);
        return;
    }
    m_hasNoPath = m_source == Source::EntryVm; // another VM may know it
    refuse(503, "not in the configuration, which may be outdated");
}

bool ForwardedRequest::canEndBeforeStop() const
{
    if (!m_state.stopMayEndAt) {
        return true;
    }
    if (timeLeft().count() <= 0) {
        return false;
    }
    const Instant now = monotonicNow();
    // Of those that come later only the ones that are certain to end are taken: other VMs are better for the rest.
    const bool isOutOfRotation = m_state.leavesRotationAt && now >= *m_state.leavesRotationAt;
    const auto usual = isOutOfRotation ? std::nullopt : m_state.routeDurations.longest(m_route->name);
    return now + std::min(usual.value_or(timeLeft()), timeLeft()) < *m_state.stopMayEndAt;
}

void ForwardedRequest::endWithStop()
{
    if (m_state.stopEndsAt && *m_state.stopEndsAt < m_deadline) {
        m_deadline = *m_state.stopEndsAt;
        m_deadlineTimer.start(std::max(milliseconds(0), timeLeft()));
    }
}

} // namespace auburndrum::gateway
