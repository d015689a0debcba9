#include "auburndrum/daemon/workerpool.h"

namespace auburndrum::daemon {

WorkerPool::WorkerPool(int threads, QObject *parent)
    : QObject(parent)
{
    m_pool.setMaxThreadCount(threads);
    m_pool.setExpiryTimeout(-1);
}

WorkerPool::~WorkerPool()
{
    m_pool.clear();
    m_pool.waitForDone();
}

void WorkerPool::run(std::function<void()> work, std::function<void()> done)
{
    m_pool.start([this, work = std::move(work), done = std::move(done)]() mutable {
        work();
        work = {}; // releases what the function captured before `done` runs on the event loop
        QMetaObject::invokeMethod(this, std::move(done), Qt::QueuedConnection);
    });
}

} // namespace auburndrum::daemon
