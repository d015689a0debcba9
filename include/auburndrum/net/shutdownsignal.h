#pragma once

#include <QObject>

#include <functional>
#include <memory>

class QSocketNotifier;

namespace auburndrum::net {

/// @brief Turns SIGTERM and SIGINT into calls on the event loop.
class ShutdownSignal : public QObject
{
public:
    explicit ShutdownSignal(std::function<void()> onSignal, QObject *parent = nullptr);
    ~ShutdownSignal() override;

private:
    std::function<void()> m_onSignal;
    std::unique_ptr<QSocketNotifier> m_notifier;
    int m_descriptor = -1;
};

} // namespace auburndrum::net
