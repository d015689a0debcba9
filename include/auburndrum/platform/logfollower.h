#pragma once

#include "auburndrum/platform/logclient.h"

#include <QObject>
#include <QTimer>

namespace auburndrum::platform {

/// Hooks of a LogFollower.
struct LogFollowerHooks
{
    std::function<void(const StoredRecord &)> onRecord; ///< each record once, in order of offset
    std::function<void(std::uint64_t next)> onCaughtUp; ///< all records below `next` were handed over
    std::function<void(std::uint64_t first)> onCut; ///< records before `first` are gone and were not seen
    std::function<void(bool isUp)> onReachable; ///< when the log becomes reachable or unreachable
};

/// Follows the platform's log from an offset on, for good.
class LogFollower : public QObject
{
public:
    LogFollower(LogClient &log, LogFollowerHooks hooks, QObject *parent = nullptr);

    /// Begins at `from`.
    void start(std::uint64_t from);
    /// Reads on from `next`, before or behind the last record: a snapshot covers what lies before it.
    void rewindTo(std::uint64_t next);
    std::uint64_t next() const
    {
        return m_next;
    }
    bool isReachable() const
    {
        return m_reachable;
    }
    /// When the log last answered; none before the first answer.
    Instant lastAnswer() const
    {
        return m_lastAnswer;
    }

private:
    void read();
    void handle(const ReadResult &result);
    void setReachable(bool isUp);

    LogClient &m_log;
    LogFollowerHooks m_hooks;
    QTimer m_retry;
    std::uint64_t m_next = 1;
    bool m_reachable = false;
    bool m_reported = false;
    bool m_isRewound = false;
    Instant m_lastAnswer{};
};

} // namespace auburndrum::platform
