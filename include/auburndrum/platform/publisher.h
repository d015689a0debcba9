#pragma once

#include "auburndrum/decision/configfold.h"
#include "auburndrum/platform/logclient.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <string>

namespace auburndrum::platform {

/// How a publish stands.
enum class PublishState {
    Accepted, ///< in the log, and read back as the winner
    Beaten, ///< another version had replaced the base
    NotPublished, ///< surely not in the log, and never will be
    Unknown, ///< may be in the log; ask again by request id
};

/// Answer to a publish.
struct PublishResult
{
    PublishState state = PublishState::Unknown;
    decision::Offset version = 0; ///< accepted: the version made; beaten: the one in the way
};

/// @brief Publishes documents through the log.
///
/// A publish is accepted only after this process has read its own record back as the winner.
class Publisher : public QObject
{
    Q_OBJECT

public:
    Publisher(LogClient &log, const decision::ConfigFold &config, QObject *parent = nullptr);

    /// Appends the record and answers once the log has decided, or with Unknown after `patience`.
    void publish(const decision::PublishRecord &record, std::chrono::milliseconds patience, std::function<void(const PublishResult &)> onDone);
    /// Looks at what waits, after the fold has moved.
    void handleFolded();

private:
    struct Waiting
    {
        std::function<void(const PublishResult &)> onDone;
        std::chrono::milliseconds patience{};
        QTimer *timer = nullptr;
    };

    void finish(const std::string &requestId, const PublishResult &result);

    LogClient &m_log;
    const decision::ConfigFold &m_config;
    std::map<std::string, Waiting> m_waiting;
};

} // namespace auburndrum::platform
