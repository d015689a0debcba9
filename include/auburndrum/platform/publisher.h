#pragma once

#include "auburndrum/decision/configfold.h"
#include "auburndrum/decision/publishcall.h"
#include "auburndrum/platform/logclient.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <list>
#include <optional>

namespace auburndrum::platform {

/// @brief Publishes documents through the log.
///
/// A publish is accepted only after this process has read its own record back from the log and the record took effect.
class Publisher : public QObject
{
public:
    using DoneHook = std::function<void(const decision::PublishAnswer &)>;

    Publisher(LogClient &log, const decision::ConfigFold &config, std::function<bool()> isLogUp, QObject *parent = nullptr);

    /// Appends the record and answers once the log has decided, or with Unknown after `timeout`.
    void publish(const decision::PublishRecord &record, std::chrono::milliseconds timeout, DoneHook onDone);
    /// Checks the pending publishes; to be called after the configuration fold has advanced.
    void onFoldAdvanced();

private:
    struct PendingPublish
    {
        decision::PublishCall call;
        DoneHook onDone;
    };
    using Step = std::function<std::optional<decision::PublishAnswer>(decision::PublishCall &)>;

    void step(const Step &step);
    void stepOne(const std::string &requestId, const Step &step);

    LogClient &m_log;
    const decision::ConfigFold &m_config;
    std::function<bool()> m_isLogUp;
    QTimer m_timer;
    std::list<PendingPublish> m_pending;
};

} // namespace auburndrum::platform
