#pragma once

#include "auburndrum/decision/logrecord.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburndrum::decision {

/// How long the outcome of a publish can be queried, in log time.
constexpr std::chrono::hours PublishOutcomeRetention{24};

/// Result of one publish, as read back from the log.
struct PublishOutcome
{
    enum class Kind {
        Unknown, ///< not in the log yet, or older than PublishOutcomeRetention
        Accepted,
        Conflict, ///< another version had already replaced the base version
    };
    Kind kind = Kind::Unknown;
    Offset version = 0; ///< accepted: the new version; conflict: the version in force
    bool operator==(const PublishOutcome &) const = default;
};

/// Current version of one document.
struct DocumentState
{
    Offset version = 0;
    std::string body; ///< document text; empty when the document was withdrawn
};

/// Deterministic fold of the log's publishes: the configuration in force.
class ConfigFold
{
public:
    /// Applies one publish. Returns true when it changed the document.
    bool apply(Offset offset, WallTime at, const PublishRecord &record);

    /// Version in force; 0 when the document never existed.
    Offset version(const std::string &document) const;

    /// Text in force; none when the document never existed or was withdrawn.
    std::optional<std::string> body(const std::string &document) const;

    /// Outcome of the publish with this request id.
    PublishOutcome publishOutcome(const std::string &requestId) const;

    /// All documents by name, including withdrawn ones.
    const std::map<std::string, DocumentState> &documents() const;

    /// Removes outcomes of publishes that are older than PublishOutcomeRetention at this log time.
    void expire(WallTime now);

    /// Writes the documents and the outcomes of publishes into a snapshot.
    void saveTo(SnapshotRecord &snapshot) const;

    /// Replaces the documents and the outcomes of publishes by those of a snapshot.
    void loadFrom(const SnapshotRecord &snapshot);

private:
    struct PublishRequest
    {
        PublishOutcome outcome;
        WallTime at;
    };

    void recordOutcome(const std::string &requestId, PublishOutcome outcome, WallTime at);

    std::map<std::string, DocumentState> m_documents;
    std::unordered_map<std::string, PublishRequest> m_requests;
    std::deque<std::string> m_requestOrder; ///< request ids, oldest first
};

} // namespace auburndrum::decision
