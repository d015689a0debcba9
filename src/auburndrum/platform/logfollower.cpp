#include "auburndrum/platform/logfollower.h"

#include <QPointer>

namespace auburndrum::platform {

namespace {

constexpr std::chrono::milliseconds RetryDelay{200};

} // namespace

LogFollower::LogFollower(LogClient &log, LogFollowerHooks hooks, QObject *parent)
    : QObject(parent)
    , m_log(log)
    , m_hooks(std::move(hooks))
{
    m_readTimer.setSingleShot(true);
    connect(&m_readTimer, &QTimer::timeout, this, &LogFollower::read);
}

void LogFollower::start(std::uint64_t from)
{
    m_next = from;
    read();
}

void LogFollower::rewindTo(std::uint64_t next)
{
    m_next = next;
    m_isRewound = true;
}

void LogFollower::read()
{
    // The first read doesn't wait for records, so that a new process learns the end of the log at once.
    const auto wait = m_hasReportedReachable ? m_log.options().readWait : std::chrono::milliseconds(0);
    m_log.read(m_next, wait, [self = QPointer<LogFollower>(this)](const ReadResult &result) {
        if (self) {
            self->handle(result);
        }
    });
}

void LogFollower::handle(const ReadResult &result)
{
    if (result.error == PlatformError::Truncated) {
        m_next = std::max(m_next, result.first);
        m_hooks.onTruncated(result.first);
        m_readTimer.start(std::chrono::milliseconds(0));
        return;
    }
    if (result.error != PlatformError::None) {
        setReachable(false);
        m_readTimer.start(RetryDelay);
        return;
    }
    m_lastSuccessfulRead = monotonicNow();
    for (const StoredRecord &it : result.records) {
        if (it.offset < m_next) {
            continue; // already passed to onRecord
        }
        m_next = it.offset + 1;
        m_hooks.onRecord(it);
        if (std::exchange(m_isRewound, false)) {
            break; // the remaining records don't follow the new offset
        }
    }
    setReachable(true);
    if (m_next >= result.next) {
        m_hooks.onCaughtUp(m_next);
    }
    m_readTimer.start(std::chrono::milliseconds(0));
}

void LogFollower::setReachable(bool isUp)
{
    if (m_hasReportedReachable && m_isReachable == isUp) {
        return;
    }
    m_hasReportedReachable = true;
    m_isReachable = isUp;
    m_hooks.onReachableChanged(isUp);
}

} // namespace auburndrum::platform
