#include "auburndrum/net/shutdownsignal.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTimer>

#include <csignal>
#include <unistd.h>

using namespace auburndrum::net;
using namespace std::chrono_literals;

TEST_CASE("signals reach the hooks and don't end the process")
{
    // Pattern: SIGHUP tells that settings changed; unhandled, it ended the program with its requests under way.
    int stops = 0;
    int reloads = 0;
    const ShutdownSignal it(
        [&] {
            ++stops;
        },
        [&] {
            ++reloads;
        });
    kill(getpid(), SIGHUP);
    kill(getpid(), SIGTERM);
    QEventLoop loop;
    QTimer::singleShot(100ms, &loop, &QEventLoop::quit);
    loop.exec();
    CHECK(reloads == 1);
    CHECK(stops == 1);
}
