#include "auburndrum/net/shutdownsignal.h"

#include <QSocketNotifier>

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace auburndrum::net {

ShutdownSignal::ShutdownSignal(std::function<void()> onSignal, QObject *parent)
    : QObject(parent)
    , m_onSignal(std::move(onSignal))
{
    sigset_t mask;
    sigemptyset(&mask);
    sigaddset(&mask, SIGTERM);
    sigaddset(&mask, SIGINT);
    pthread_sigmask(SIG_BLOCK, &mask, nullptr);
    m_descriptor = signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC);
    m_notifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
    connect(m_notifier.get(), &QSocketNotifier::activated, this, [this] {
        signalfd_siginfo info{};
        while (read(m_descriptor, &info, sizeof(info)) == sizeof(info)) {
            m_onSignal();
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
