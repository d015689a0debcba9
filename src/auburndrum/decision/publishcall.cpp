#include "auburndrum/decision/publishcall.h"

#include <utility>

namespace auburndrum::decision {

PublishCall::PublishCall(PublishRecord record, Instant deadline)
    : m_record(std::move(record))
    , m_deadline(deadline)
{
}

std::optional<PublishAnswer> PublishCall::start(const ConfigFold &fold, bool isLogUp)
{
    // A publish that is retried because its answer was lost is recognised by its request id.
    if (auto answer = onFoldAdvanced(fold)) {
        return answer;
    }
    // Versions only grow, so a publish on a base version that is no longer in force here can never be accepted.
    const Offset current = fold.version(m_record.document);
    if (current > m_record.baseVersion) {
        return finish({PublishAnswer::Kind::Conflict, current});
    }
    return isLogUp ? std::nullopt : finish({PublishAnswer::Kind::NotAppended, 0});
}

std::optional<PublishAnswer> PublishCall::onFoldAdvanced(const ConfigFold &fold)
{
    const PublishOutcome outcome = fold.publishOutcome(m_record.requestId);
    switch (outcome.kind) {
    case PublishOutcome::Kind::Accepted:
        return finish({PublishAnswer::Kind::Accepted, outcome.version});
    case PublishOutcome::Kind::Conflict:
        return finish({PublishAnswer::Kind::Conflict, outcome.version});
    case PublishOutcome::Kind::Unknown:
        break;
    }
    return std::nullopt;
}

std::optional<PublishAnswer> PublishCall::onAppendRefused()
{
    return finish({PublishAnswer::Kind::NotAppended, 0});
}

std::optional<PublishAnswer> PublishCall::tick(Instant now)
{
    return now < m_deadline ? std::nullopt : finish({PublishAnswer::Kind::Unknown, 0});
}

const PublishRecord &PublishCall::record() const
{
    return m_record;
}

std::optional<PublishAnswer> PublishCall::finish(PublishAnswer answer)
{
    if (std::exchange(m_isAnswered, true)) {
        return std::nullopt;
    }
    return answer;
}

} // namespace auburndrum::decision
