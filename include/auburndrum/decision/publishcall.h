#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/configfold.h"
#include "auburndrum/decision/logrecord.h"

#include <optional>

namespace auburndrum::decision {

/// Answer to an operator's publish.
struct PublishAnswer
{
    enum class Kind {
        Accepted,
        Conflict, ///< another version had already replaced the base version
        NotAppended, ///< this attempt is not in the log and never will be; an earlier attempt with the same request id may be
        Unknown, ///< the record may be in the log or arrive there later; query the outcome by the request id
    };
    Kind kind = Kind::Unknown;
    Offset version = 0; ///< accepted: the new version; conflict: the version in force
    bool operator==(const PublishAnswer &) const = default;
};

/// State machine of one publish. A publish is accepted only when its record is read back from the log as the new version.
class PublishCall
{
public:
    PublishCall(PublishRecord record, Instant deadline);

    /// Starts the publish. Append the record unless an answer is returned.
    std::optional<PublishAnswer> start(const ConfigFold &fold, bool isLogUp);

    /// Handles new entries in the fold. Returns the answer when the fold has the outcome of this publish.
    std::optional<PublishAnswer> onFoldAdvanced(const ConfigFold &fold);

    /// Handles the log's reply that it certainly did not append the record.
    std::optional<PublishAnswer> onAppendRefused();

    /// Returns the answer Unknown when the deadline has passed without another answer.
    std::optional<PublishAnswer> tick(Instant now);

    const PublishRecord &record() const;

private:
    std::optional<PublishAnswer> finish(PublishAnswer answer);

    PublishRecord m_record;
    Instant m_deadline;
    bool m_isAnswered = false;
};

} // namespace auburndrum::decision
