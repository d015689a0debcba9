#include "auburndrum/platform/publisher.h"

#include <QPointer>

namespace auburndrum::platform {

using decision::PublishAnswer;
using decision::PublishCall;

namespace {

constexpr std::chrono::milliseconds TickInterval{50};

} // namespace

Publisher::Publisher(LogClient &log, const decision::ConfigFold &config, std::function<bool()> isLogUp, QObject *parent)
    : QObject(parent)
    , m_log(log)
    , m_config(config)
    , m_isLogUp(std::move(isLogUp))
{
    connect(&m_timer, &QTimer::timeout, this, [this] {
        step([](PublishCall &call) {
            return call.tick(monotonicNow());
        });
    });
}

void Publisher::publish(const decision::PublishRecord &record, std::chrono::milliseconds timeout, DoneHook onDone)
{
    PublishCall call(record, monotonicNow() + timeout);
    if (const auto answer = call.start(m_config, m_isLogUp())) {
        onDone(*answer);
        return;
    }
    m_pending.push_back({std::move(call), std::move(onDone)});
    m_timer.start(TickInterval);
    m_log.append(decision::encodeEntry({record}), [self = QPointer<Publisher>(this), requestId = record.requestId](const AppendResult &result) {
        const bool isRefused = result.error == PlatformError::NotSent || result.error == PlatformError::Refused;
        if (!self || !isRefused) {
            return; // an accepted or unknown append is decided by reading the log
        }
        self->stepOne(requestId, [](PublishCall &it) {
            return it.onAppendRefused();
        });
    });
}

void Publisher::onFoldAdvanced()
{
    step([this](PublishCall &call) {
        return call.onFoldAdvanced(m_config);
    });
}

void Publisher::step(const Step &step)
{
    std::vector<std::string> requestIds;
    for (const PendingPublish &it : m_pending) {
        requestIds.push_back(it.call.record().requestId);
    }
    for (const std::string &it : requestIds) {
        stepOne(it, step);
    }
    if (m_pending.empty()) {
        m_timer.stop();
    }
}

void Publisher::stepOne(const std::string &requestId, const Step &step)
{
    for (auto it = m_pending.begin(); it != m_pending.end(); ++it) {
        if (it->call.record().requestId != requestId) {
            continue;
        }
        const auto answer = step(it->call);
        if (!answer) {
            return;
        }
        const DoneHook onDone = std::move(it->onDone);
        m_pending.erase(it);
        onDone(*answer);
        return;
    }
}

} // namespace auburndrum::platform
