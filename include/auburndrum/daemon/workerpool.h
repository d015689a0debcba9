#pragma once

#include <QObject>
#include <QThreadPool>

#include <functional>

namespace auburndrum::daemon {

/// @brief Pool of workers for what would hold up the event loop, such as reading and hashing long prompts.
class WorkerPool : public QObject
{
public:
    explicit WorkerPool(int threads, QObject *parent = nullptr);
    ~WorkerPool() override;

    /// Runs `work` in a worker, then `done` on this object's thread.
    void run(std::function<void()> work, std::function<void()> done);

private:
    QThreadPool m_pool;
};

} // namespace auburndrum::daemon
