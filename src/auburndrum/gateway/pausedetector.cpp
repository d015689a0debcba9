#include "auburndrum/gateway/pausedetector.h"

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{50};
constexpr milliseconds MaxTickGap{150}; // a longer gap between two ticks is a pause
constexpr std::size_t MaxPauses = 32; // far more than fit into the time of one call

} // namespace

PauseDetector::PauseDetector(QObject *parent)
    : QObject(parent)
    , m_lastTickAt(suspendAwareNow())
{
    connect(&m_timer, &QTimer::timeout, this, &PauseDetector::tick);
    m_timer.start(TickInterval);
}

void PauseDetector::tick()
{
    const Instant now = suspendAwareNow();
    if (now - m_lastTickAt > MaxTickGap) {
        m_pauses.push_back({m_lastTickAt, now});
    }
    if (m_pauses.size() > MaxPauses) {
        m_pauses.pop_front();
    }
    m_lastTickAt = now;
}

Instant PauseDetector::earliestAnswerTime(Instant sentAt) const
{
    for (const Pause &it : m_pauses) {
        if (it.endedAt > sentAt) {
            return std::max(it.beganAt, sentAt);
        }
    }
    const Instant now = suspendAwareNow();
    // After a pause the answer may be handled before the first tick.
    return now - m_lastTickAt > MaxTickGap ? std::max(m_lastTickAt, sentAt) : now;
}

} // namespace auburndrum::gateway
