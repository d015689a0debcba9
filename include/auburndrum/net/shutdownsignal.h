#pragma once

#include <QObject>

#include <functional>
#include <memory>

class QSocketNotifier;

namespace auburndrum::net {

/// @brief Calls a hook from the event loop on SIGTERM and SIGINT, and another on SIGHUP when `onReload` is set.
class ShutdownSignal : public QObject
{
public:
    explicit ShutdownSignal(std::function<void()> onStop, std::function<void()> onReload = {}, QObject *parent = nullptr);
    ~ShutdownSignal() override;

private:
    std::function<void()> m_onStop;
    std::function<void()> m_onReload;
    std::unique_ptr<QSocketNotifier> m_notifier;
    int m_descriptor = -1;
};

} // namespace auburndrum::net
