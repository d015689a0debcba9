#include "auburndrum/net/shutdownsignal.h"

#include <QSocketNotifier>

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace auburndrum::net {

ShutdownSignal::ShutdownSignal(std::function<void()> onStop, std::function<void()> onReload, QObject *parent)
    : QObject(parent)
    , m_onStop(std::move(onStop))
    , m_onReload(std::move(onReload))
{
    sigset_t mask;
    sigemptyset(&mask);
    sigaddset(&mask, SIGTERM);
    sigaddset(&mask, SIGINT);
    if (m_onReload) {
        sigaddset(&mask, SIGHUP);
    }
    pthread_sigmask(SIG_BLOCK, &mask, nullptr);
    m_descriptor = signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC);
    m_notifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
    connect(m_notifier.get(), &QSocketNotifier::activated, this, [this] {
        signalfd_siginfo info{};
        while (read(m_descriptor, &info, sizeof(info)) == sizeof(info)) {
            if (info.ssi_signo == SIGHUP) {
                m_onReload();
            } else {
                m_onStop();
            }
        }
    });
}

ShutdownSignal::~ShutdownSignal()
{
    m_notifier.reset();
    if (m_descriptor >= 0) {
        close(m_descriptor);
    }
}

} // namespace auburndrum::net
