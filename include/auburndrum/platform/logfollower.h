#pragma once

#include "auburndrum/platform/logclient.h"

#include <QObject>
#include <QTimer>

namespace auburndrum::platform {

/// Hooks of a LogFollower.
struct LogFollowerHooks
{
    std::function<void(const StoredRecord &)> onRecord; ///< each record once, in order of offset
    std::function<void(std::uint64_t next)> onCaughtUp; ///< all records below offset `next` were passed to onRecord
    std::function<void(std::uint64_t first)> onTruncated; ///< the log was truncated: records before offset `first` are lost and were not passed to onRecord
    std::function<void(bool isUp)> onReachableChanged; ///< called after the first read and whenever reachability changes
};

/// Reads the platform's log from an offset on and keeps polling for new records.
class LogFollower : public QObject
{
public:
    LogFollower(LogClient &log, LogFollowerHooks hooks, QObject *parent = nullptr);

    /// Starts reading at offset `from`.
    void start(std::uint64_t from);
    /// Continues reading at offset `next`, which may be lower or higher than the current one, for instance after a snapshot.
    void rewindTo(std::uint64_t next);
    std::uint64_t next() const
    {
        return m_next;
    }
    bool isReachable() const
    {
        return m_isReachable;
    }
    /// Time of the last successful read; zero before the first one.
    Instant lastSuccessfulRead() const
    {
        return m_lastSuccessfulRead;
    }

private:
    void read();
    void handle(const ReadResult &result);
    void setReachable(bool isUp);

    LogClient &m_log;
    LogFollowerHooks m_hooks;
    QTimer m_readTimer;
    std::uint64_t m_next = 1;
    bool m_isReachable = false;
    bool m_hasReportedReachable = false;
    bool m_isRewound = false;
    Instant m_lastSuccessfulRead{};
};

} // namespace auburndrum::platform
