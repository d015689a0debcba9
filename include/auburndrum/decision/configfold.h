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

/// How long the outcome of a publish can be asked for, in log time.
constexpr std::chrono::hours PublishOutcomeRetention{24};

/// What is known of one publish.
struct PublishOutcome
{
    enum class Kind {
        Unknown, ///< not in the log so far, or longer ago than the window
        Accepted,
        Conflict, ///< another version had replaced the base
    };
    Kind kind = Kind::Unknown;
    Offset version = 0; ///< accepted: the version made; beaten: the one that stood in the way
    bool operator==(const PublishOutcome &) const = default;
};

/// One document in force.
struct DocumentState
{
    Offset version = 0;
    std::string body; ///< empty: withdrawn
};

/// The configuration in force: a deterministic fold of the log's publishes.
class ConfigFold
{
public:
    /// Folds one publish in. Returns true when a document changed.
    bool apply(Offset offset, WallTime at, const PublishRecord &record);

    /// Version in force; 0 when the document never existed.
    Offset version(const std::string &document) const;

    /// Text in force; none when the document never existed or was withdrawn.
    std::optional<std::string> body(const std::string &document) const;

    /// What became of the publish with this request id.
    PublishOutcome publishOutcome(const std::string &requestId) const;

    /// Every document, by name, with the withdrawn ones.
    const std::map<std::string, DocumentState> &documents() const;

    /// Forgets outcomes of publishes that are older than the window at this log time.
    void expire(WallTime now);

    void saveTo(SnapshotRecord &snapshot) const;
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
    std::deque<std::string> m_requestOrder;
};

} // namespace auburndrum::decision
