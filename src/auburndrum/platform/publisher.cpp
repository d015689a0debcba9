#include "auburndrum/platform/publisher.h"

#include <QPointer>

namespace auburndrum::platform {

Publisher::Publisher(LogClient &log, const decision::ConfigFold &config, QObject *parent)
    : QObject(parent)
    , m_log(log)
    , m_config(config)
{
}

void Publisher::publish(const decision::PublishRecord &record, std::chrono::milliseconds patience, std::function<void(const PublishResult &)> onDone)
{
    const std::string requestId = record.requestId;
    auto *timer = new QTimer(this);
    timer->setSingleShot(true);
    connect(timer, &QTimer::timeout, this, [this, requestId] {
        finish(requestId, {PublishState::Unknown, 0});
    });
    m_waiting[requestId] = {std::move(onDone), patience, timer};
    timer->start(patience);
    m_log.append(decision::encodeEntry({record}), [self = QPointer<Publisher>(this), requestId](const AppendResult &result) {
        if (!self) {
            return;
        }
        if (result.error == PlatformError::NotSent || result.error == PlatformError::Refused) {
            self->finish(requestId, {PublishState::NotPublished, 0});
            return;
        }
        self->handleFolded();
    });
}

void Publisher::handleFolded()
{
    std::vector<std::pair<std::string, PublishResult>> decided;
    for (const auto &[requestId, waiting] : m_waiting) {
        const decision::PublishOutcome outcome = m_config.outcomeOf(requestId);
        if (outcome.kind == decision::PublishOutcome::Kind::Unknown) {
            continue;
        }
        const bool isAccepted = outcome.kind == decision::PublishOutcome::Kind::Accepted;
        decided.push_back({requestId, {isAccepted ? PublishState::Accepted : PublishState::Beaten, outcome.version}});
    }
    for (const auto &[requestId, result] : decided) {
        finish(requestId, result);
    }
}

void Publisher::finish(const std::string &requestId, const PublishResult &result)
{
    const auto it = m_waiting.find(requestId);
    if (it == m_waiting.end()) {
        return;
    }
    const Waiting waiting = std::move(it->second);
    m_waiting.erase(it);
    waiting.timer->deleteLater();
    waiting.onDone(result);
}

} // namespace auburndrum::platform
