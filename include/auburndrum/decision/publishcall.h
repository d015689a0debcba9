#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/configfold.h"
#include "auburndrum/decision/logrecord.h"

#include <optional>

namespace auburndrum::decision {

/// What an operator is told about a publish.
struct PublishAnswer
{
    enum class Kind {
        Accepted,
        Conflict, ///< another version had replaced the base
        NotAppended, ///< nothing of this attempt is in the log or comes there; an earlier one with the same id may
        Unknown, ///< it may be in the log or come there; ask again by the request id
    };
    Kind kind = Kind::Unknown;
    Offset version = 0; ///< accepted: the version made; beaten: the one that stood in the way
    bool operator==(const PublishAnswer &) const = default;
};

/// State machine of one publish. Only the record read back from the log decides.
class PublishCall
{
public:
    PublishCall(PublishRecord record, Instant deadline);

    /// Begins. Append the record unless an answer is returned.
    std::optional<PublishAnswer> start(const ConfigFold &fold, bool isLogUp);

    /// The fold advanced.
    std::optional<PublishAnswer> onFoldAdvanced(const ConfigFold &fold);

    /// The log said for certain that it did not take the record.
    std::optional<PublishAnswer> onAppendRefused();

    /// Time passed.
    std::optional<PublishAnswer> tick(Instant now);

    const PublishRecord &record() const;

private:
    std::optional<PublishAnswer> finish(PublishAnswer answer);

    PublishRecord m_record;
    Instant m_deadline;
    bool m_isAnswered = false;
};

} // namespace auburndrum::decision
