#include "auburndrum/net/shutdownsignal.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTimer>

#include <csignal>
#include <unistd.h>

using namespace auburndrum::net;
using namespace std::chrono_literals;

TEST_CASE("SIGHUP and SIGTERM call their hooks and don't kill the process")
{
    // Guards against SIGHUP, which asks a program to reload its settings, killing the program and its requests in progress when it is unhandled.
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
