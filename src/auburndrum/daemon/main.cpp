#include "auburndrum/base/log.h"
#include "auburndrum/base/settings.h"
#include "auburndrum/daemon/daemon.h"
#include "auburndrum/net/shutdownsignal.h"

#include <QCoreApplication>

#include <cstdio>

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitCannotListen = 1;

int reportErrors(const std::vector<auburndrum::SettingError> &errors)
{
    for (const auburndrum::SettingError &it : errors) {
        std::fprintf(stderr, "auburndrumd: %s\n", auburndrum::toText(it).c_str());
    }
    return ExitBadSettings;
}

} // namespace

int main(int argc, char **argv)
{
    const auburndrum::CommandLine commandLine = auburndrum::parseCommandLine(argc, argv);
    if (commandLine.mode == auburndrum::RunMode::PrintSettingsPage) {
        std::fputs(auburndrum::settingsPage().c_str(), stdout);
        return 0;
    }
    if (!commandLine.settings) {
        return reportErrors(commandLine.settings.error());
    }
    if (commandLine.mode == auburndrum::RunMode::CheckSettings) {
        std::puts("settings are valid");
        return 0;
    }
    const auburndrum::Settings &settings = commandLine.settings.value();
    auburndrum::startLog({.level = settings.logLevel, .format = settings.logFormat});

    QCoreApplication app(argc, argv);
    // Created before any worker thread starts, so that all threads inherit the blocked signals.
    auburndrum::daemon::Daemon *running = nullptr;
    const auburndrum::net::ShutdownSignal shutdownSignal([&running] {
        if (running != nullptr) {
            running->shutDown();
        }
    });
    auburndrum::daemon::Daemon daemon(settings);
    running = &daemon;
    if (!daemon.start()) {
        return ExitCannotListen;
    }
    std::printf("listening %s\n", auburndrum::net::toText(daemon.address()).c_str());
    std::fflush(stdout);
    return QCoreApplication::exec();
}
