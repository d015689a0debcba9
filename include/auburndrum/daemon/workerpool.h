#pragma once

#include <QObject>
#include <QThreadPool>

#include <functional>

namespace auburndrum::daemon {

/// @brief Thread pool for work that would block the event loop, such as parsing and hashing long prompts.
class WorkerPool : public QObject
{
public:
    explicit WorkerPool(int threads, QObject *parent = nullptr);
    ~WorkerPool() override;

    /// Runs `work` on a worker thread, then `done` on this object's thread.
    void run(std::function<void()> work, std::function<void()> done);

private:
    QThreadPool m_pool;
};

} // namespace auburndrum::daemon
