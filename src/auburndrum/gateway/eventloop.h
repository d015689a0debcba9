#pragma once

#include <QEventLoop>
#include <QTimer>

#include <chrono>
#include <functional>

namespace auburndrum::gateway {

/// Runs the event loop until `isDone` holds or the timeout expires; returns whether it holds.
inline bool runUntil(const std::function<bool()> &isDone, std::chrono::milliseconds timeout = std::chrono::seconds(10))
{
    QEventLoop loop;
    QTimer poll;
    QObject::connect(&poll, &QTimer::timeout, &loop, [&] {
        if (isDone()) {
            loop.quit();
        }
    });
    poll.start(std::chrono::milliseconds(1));
    // A coarse timer, the default from two seconds on, may end up to 5% too early.
    QTimer::singleShot(timeout, Qt::PreciseTimer, &loop, &QEventLoop::quit);
    loop.exec();
    return isDone();
}

/// Runs the event loop for the given time.
inline void runFor(std::chrono::milliseconds time)
{
    runUntil(
        [] {
            return false;
        },
        time);
}

} // namespace auburndrum::gateway
