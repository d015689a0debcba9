#include "wait.h"

#include "auburndrum/base/time.h"

#include <QEventLoop>
#include <QTimer>

namespace auburndrum::tests {

namespace {

constexpr std::chrono::milliseconds PollInterval{5};

} // namespace

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const Instant deadline = monotonicNow() + limit;
    while (!condition()) {
        if (monotonicNow() >= deadline) {
            return false;
        }
        waitFor(PollInterval);
    }
    return true;
}

void waitFor(std::chrono::milliseconds duration)
{
    QEventLoop loop;
    QTimer::singleShot(duration, &loop, &QEventLoop::quit);
    loop.exec();
}

} // namespace auburndrum::tests
