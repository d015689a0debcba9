#pragma once

#include "auburndrum/base/hybridclock.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum {

/// What happened. The text form is the name in snake case.
enum class EventKind {
    DaemonStarted,
    DaemonReady,
    DaemonNotReady,
    DrainStarted,
    DrainFinished,
    DrainCut,

    RequestReceived,
    RequestForwarded,
    RequestQueued,
    RequestRefused,
    RequestAnswered,
    RequestFailed,
    CallerGone,

    AttemptRouted,
    AttemptSent,
    AttemptFailed,
    AttemptMismatched,
    FirstOutput,
    StreamSilent,
    StreamResumed,

    ClaimAppended,
    ClaimWon,
    ClaimLost,
    ClaimOutcomeRecorded,
    ClaimReleased,
    ClaimInDoubt,
    ClaimResolved,

    LeaseAcquired,
    LeaseLost,
    OrderSent,
    OrderRefused,

    DocumentPublished,
    DocumentRejected,
    DocumentInForce,
    SnapshotAppended,

    PlatformLost,
    PlatformBack,
    PeerLost,
    PeerBack,
    BackendLost,
    BackendBack,
    BackendLeaving,
    CircuitOpened,
    CircuitClosed,

    CacheResynced,
    PieceExported,
    PieceImported,
    PieceRejected,

    LogLevelChanged,
};

/// The name of a kind, such as "claim_won".
std::string_view toText(EventKind kind);

/// The kind with this name, nothing when unknown.
std::optional<EventKind> parseEventKind(std::string_view text);

/// Maximum length of an event's detail in bytes; longer ones are truncated.
constexpr std::size_t MaxDetailBytes = 200;

/// One thing that happened in one process. `detail` never holds prompt text, keys or secrets.
struct TimelineEvent
{
    HybridTime time;
    EventKind kind = EventKind::DaemonStarted;
    std::string requestId; ///< empty for events of no single request
    std::string detail;

    bool operator==(const TimelineEvent &) const = default;
};

/// Selects the events to return.
struct TimelineFilter
{
    std::string requestId; ///< empty: events of any request or of none
    std::optional<WallTime> since;
    std::size_t limit = 10000; ///< maximum number of events; the latest are returned
};

/// The latest events of this process. Thread safe; memory is bounded by `capacity` events.
class Timeline
{
public:
    Timeline(std::size_t capacity, HybridClock &clock);

    /// Adds an event with the current time. Drops the oldest event when the ring buffer is full.
    void record(EventKind kind, std::string_view requestId, std::string_view detail = {});

    /// Matching events, oldest first.
    std::vector<TimelineEvent> events(const TimelineFilter &filter = {}) const;

    /// Number of events dropped since the start because the ring buffer was full.
    std::uint64_t dropped() const;

private:
    const std::size_t m_capacity;
    HybridClock &m_clock;
    mutable std::mutex m_mutex; ///< locked before the clock's mutex
    std::deque<TimelineEvent> m_events;
    std::uint64_t m_dropped = 0;
};

/// The events of one process, as sent to operators and peers.
struct TimelineReport
{
    std::string process;
    std::string zone;
    std::uint64_t dropped = 0;
    std::vector<TimelineEvent> events;
};

/// Writes a report as one JSON object.
std::string toJson(const TimelineReport &report);

/// Reads what toJson() writes. Events of unknown kinds, as sent by a later release, are left out. Returns nothing when malformed.
std::optional<TimelineReport> parseTimelineReport(std::string_view json);

} // namespace auburndrum
