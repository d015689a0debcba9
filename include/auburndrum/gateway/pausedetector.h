#pragma once

#include "auburndrum/base/time.h"

#include <QObject>
#include <QTimer>

#include <deque>

namespace auburndrum::gateway {

/// @brief Notices when this process stood still, because its VM was paused or its event loop was blocked.
///
/// An answer that arrived meanwhile is handled only afterwards, so the time at which it is handled says little about when it was given.
class PauseDetector : public QObject
{
    Q_OBJECT

public:
    explicit PauseDetector(QObject *parent = nullptr);

    /// The earliest time, on the clock of suspendAwareNow(), at which the answer that is handled now may have been given. `sentAt`: when its call
    /// was sent.
    Instant earliestAnswerTime(Instant sentAt) const;

private:
    struct Pause
    {
        Instant beganAt; ///< the last time at which the process is known to have run
        Instant endedAt;
    };

    void tick();

    QTimer m_timer;
    Instant m_lastTickAt;
    std::deque<Pause> m_pauses; ///< the latest ones, oldest first
};

} // namespace auburndrum::gateway
