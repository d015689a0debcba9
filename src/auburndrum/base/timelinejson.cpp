#include "auburndrum/base/timeline.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <array>

namespace auburndrum {

namespace {

using Json = nlohmann::json;

struct KindName
{
    EventKind kind;
    std::string_view text;
};

constexpr std::array KindNames{
    KindName{EventKind::DaemonStarted, "daemon_started"},
    KindName{EventKind::DaemonReady, "daemon_ready"},
    KindName{EventKind::DaemonNotReady, "daemon_not_ready"},
    KindName{EventKind::DrainStarted, "drain_started"},
    KindName{EventKind::DrainFinished, "drain_finished"},
    KindName{EventKind::DrainCut, "drain_cut"},
    KindName{EventKind::RequestReceived, "request_received"},
    KindName{EventKind::RequestForwarded, "request_forwarded"},
    KindName{EventKind::RequestQueued, "request_queued"},
    KindName{EventKind::RequestRefused, "request_refused"},
    KindName{EventKind::RequestAnswered, "request_answered"},
    KindName{EventKind::RequestFailed, "request_failed"},
    KindName{EventKind::CallerGone, "caller_gone"},
    KindName{EventKind::AttemptRouted, "attempt_routed"},
    KindName{EventKind::AttemptSent, "attempt_sent"},
    KindName{EventKind::AttemptFailed, "attempt_failed"},
    KindName{EventKind::AttemptMismatched, "attempt_mismatched"},
    KindName{EventKind::FirstOutput, "first_output"},
    KindName{EventKind::StreamSilent, "stream_silent"},
    KindName{EventKind::StreamResumed, "stream_resumed"},
    KindName{EventKind::ClaimAppended, "claim_appended"},
    KindName{EventKind::ClaimWon, "claim_won"},
    KindName{EventKind::ClaimLost, "claim_lost"},
    KindName{EventKind::ClaimOutcomeRecorded, "claim_outcome_recorded"},
    KindName{EventKind::ClaimReleased, "claim_released"},
    KindName{EventKind::ClaimInDoubt, "claim_in_doubt"},
    KindName{EventKind::ClaimResolved, "claim_resolved"},
    KindName{EventKind::LeaseAcquired, "lease_acquired"},
    KindName{EventKind::LeaseLost, "lease_lost"},
    KindName{EventKind::OrderSent, "order_sent"},
    KindName{EventKind::OrderRefused, "order_refused"},
    KindName{EventKind::DocumentPublished, "document_published"},
    KindName{EventKind::DocumentRejected, "document_rejected"},
    KindName{EventKind::DocumentInForce, "document_in_force"},
    KindName{EventKind::SnapshotAppended, "snapshot_appended"},
    KindName{EventKind::PlatformLost, "platform_lost"},
    KindName{EventKind::PlatformBack, "platform_back"},
    KindName{EventKind::PeerLost, "peer_lost"},
    KindName{EventKind::PeerBack, "peer_back"},
    KindName{EventKind::BackendLost, "backend_lost"},
    KindName{EventKind::BackendBack, "backend_back"},
    KindName{EventKind::BackendLeaving, "backend_leaving"},
    KindName{EventKind::CircuitOpened, "circuit_opened"},
    KindName{EventKind::CircuitClosed, "circuit_closed"},
    KindName{EventKind::CacheResynced, "cache_resynced"},
    KindName{EventKind::PieceExported, "piece_exported"},
    KindName{EventKind::PieceImported, "piece_imported"},
    KindName{EventKind::PieceRejected, "piece_rejected"},
    KindName{EventKind::LogLevelChanged, "log_level_changed"},
};

constexpr std::size_t KindCount = static_cast<std::size_t>(EventKind::LogLevelChanged) + 1;
static_assert(KindNames.size() == KindCount, "every kind has a name");

Json eventJson(const TimelineEvent &event)
{
    Json json{{"time", toText(event.time)}, {"kind", toText(event.kind)}};
    if (!event.requestId.empty()) {
        json["request"] = event.requestId;
    }
    if (!event.detail.empty()) {
        json["detail"] = event.detail;
    }
    return json;
}

std::string textOr(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<TimelineEvent> parseEvent(const Json &json)
{
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto time = parseHybridTime(textOr(json, "time"));
    const auto kind = parseEventKind(textOr(json, "kind"));
    if (!time || !kind) {
        return std::nullopt;
    }
    return TimelineEvent{*time, *kind, textOr(json, "request"), textOr(json, "detail")};
}

} // namespace

std::string_view toText(EventKind kind)
{
    for (const KindName &it : KindNames) {
        if (it.kind == kind) {
            return it.text;
        }
    }
    return "unknown";
}

std::optional<EventKind> parseEventKind(std::string_view text)
{
    for (const KindName &it : KindNames) {
        if (it.text == text) {
            return it.kind;
        }
    }
    return std::nullopt;
}

std::string toJson(const TimelineReport &report)
{
    Json events = Json::array();
    for (const TimelineEvent &it : report.events) {
        events.push_back(eventJson(it));
    }
    const Json json{{"process", report.process}, {"zone", report.zone}, {"dropped", report.dropped}, {"events", std::move(events)}};
    // A detail truncated within a UTF-8 character must not make the whole report fail.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<TimelineReport> parseTimelineReport(std::string_view json)
{
    const Json root = parseJsonOrDiscard(json);
    if (!root.is_object() || !root.contains("events") || !root["events"].is_array()) {
        return std::nullopt;
    }
    TimelineReport report;
    report.process = textOr(root, "process");
    report.zone = textOr(root, "zone");
    const auto dropped = root.find("dropped");
    report.dropped = dropped != root.end() && dropped->is_number_unsigned() ? dropped->get<std::uint64_t>() : 0;
    for (const Json &it : root["events"]) {
        if (auto event = parseEvent(it)) {
            report.events.push_back(std::move(*event));
        }
    }
    return report;
}

} // namespace auburndrum
