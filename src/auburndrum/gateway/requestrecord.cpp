#include "requestrecord.h"

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using nlohmann::ordered_json;

double seconds(Instant::duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::int64_t millisecondsOf(Instant::duration time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time).count();
}

ordered_json toJson(const AttemptRecord &it)
{
    ordered_json object = {{"server", it.choice.id},
                           {"software", it.choice.softwareVersion},
                           {"entry_age_ms", it.choice.entryAge.count()},
                           {"running", it.choice.runningRequests},
                           {"load_age_ms", it.choice.reportAge.count()},
                           {"wait_estimate_ms", std::chrono::floor<std::chrono::milliseconds>(it.choice.expectedWait).count()},
                           {"unread_tokens", it.choice.uncachedTokens},
                           {"fetched_parts", it.choice.partSources.size() - std::count(it.choice.partSources.begin(), it.choice.partSources.end(), "")},
                           {"weights", it.choice.weightVersion},
                           {"weights_replaced_ms", it.choice.weightsReplacedFor.count()},
                           {"result", it.result},
                           {"sent_ms", it.sentAfter.count()},
                           {"ms", it.duration.count()},
                           {"ended_by_close", it.endedByClose},
                           {"partial_event_bytes", it.partialEventBytes}};
    if (it.unacknowledgedBytes > 0) {
        object["unacknowledged_bytes"] = it.unacknowledgedBytes;
    }
    if (it.foreignAnswers > 0) {
        object["foreign_answers"] = it.foreignAnswers;
    }
    if (it.isPassedOn) {
        object["passed_on"] = true;
    }
    if (it.refusalStatus != 0) {
        object["refusal"] = {{"status", it.refusalStatus}, {"reason", it.refusal}};
    }
    if (!it.keptDespite.empty()) {
        object["kept_despite"] = it.keptDespite;
    }
    if (it.silentFor) {
        object["silent_ms"] = it.silentFor->count();
    }
    if (it.answeredAfter) {
        object["head_ms"] = it.answeredAfter->count();
    }
    if (it.choice.limitPerSecond) {
        object["limit"] = *it.choice.limitPerSecond;
    }
    if (it.limitPerSecond) {
        object["server_limit"] = *it.limitPerSecond;
    }
    return object;
}

} // namespace

const char *toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Served:
        return "served";
    case Outcome::ServerFailure:
        return "server_failure";
    case Outcome::Refused:
        return "refused";
    case Outcome::Failed:
        return "failed";
    case Outcome::TimedOut:
        return "timed_out";
    case Outcome::Cut:
        return "cut";
    case Outcome::CallerGone:
        return "caller_gone";
    case Outcome::Rejected:
        return "rejected";
    }
    return "unknown";
}

void recordRequest(GatewayState &state, const RequestRecord &record, Outcome outcome, int status, const char *reason)
{
    const Instant now = monotonicNow();
    state.metrics.requests.with({record.route, toText(outcome)}).Increment();
    state.metrics.totalSeconds.with({record.route}).Observe(seconds(now - record.arrivedAt));
    if (record.firstByteAt) {
        state.metrics.firstByteSeconds.with({record.route}).Observe(seconds(*record.firstByteAt - record.arrivedAt));
    }
    if (record.unreadFor) {
        state.metrics.unreadSeconds.with().Observe(std::chrono::duration<double>(*record.unreadFor).count());
    }
    for (const AttemptRecord &it : record.attempts) {
        state.metrics.sentSeconds.with().Observe(std::chrono::duration<double>(it.sentAfter).count());
        state.metrics.attempts.with({record.service, it.result}).Increment();
    }
    ordered_json line = {{"request", record.id},
                         {"outcome", toText(outcome)},
                         {"status", status},
                         {"reason", reason},
                         {"route", record.route},
                         {"organisation", record.organisation},
                         {"service", record.service},
                         {"prompt", record.affinityKey},
                         {"ms", millisecondsOf(now - record.arrivedAt)},
                         {"first_byte_ms", record.firstByteAt ? millisecondsOf(*record.firstByteAt - record.arrivedAt) : -1},
                         {"unread_ms", record.unreadFor ? record.unreadFor->count() : -1},
                         {"patience_ms", record.callerTimeout.count()},
                         {"configuration", record.configurationVersion},
                         {"configuration_age_ms", record.configurationAge.count()},
                         {"configuration_unread_ms", record.configurationUnreadFor ? record.configurationUnreadFor->count() : -1}};
    if (!record.relayedBy.empty()) {
        line["relayed_by"] = record.relayedBy;
    }
    if (!record.resumedAttempt.empty()) {
        line["resumes"] = record.resumedAttempt;
    }
    if (record.originFinding) {
        const OriginFinding &it = *record.originFinding;
        line["origin"] = {{"service", it.origin ? it.origin->service : ""},
                          {"software", it.origin ? it.origin->softwareVersion : ""},
                          {"asked", it.asked},
                          {"answered", it.answered},
                          {"ms", it.duration.count()}};
    }
    ordered_json attempts = ordered_json::array();
    for (const AttemptRecord &it : record.attempts) {
        attempts.push_back(toJson(it));
    }
    line["attempts"] = std::move(attempts);
    if (record.pathLosses > 0) {
        line["path_losses"] = record.pathLosses;
    }
    if (outcome != Outcome::Served) {
        line["parts"] = record.parts;
        line["request_mark"] = record.requestMark;
        if (record.crashDecision) {
            line["kept_away"]
                = {{"part", record.crashDecision->mark}, {"decision", record.crashDecision->verdict}, {"age_ms", record.crashDecision->age.count()}};
        }
        line["no_server"] = record.noServerReason;
        line["servers_known"] = record.serversKnown;
        line["retries_left"] = record.retriesLeft;
        line["not_sent_again"] = record.notSentAgain;
        if (!record.isBodyRepeatable) {
            line["body_repeatable"] = false;
        }
    }
    state.log.write(outcome == Outcome::Served ? LinePriority::Routine : LinePriority::Notable, "request", line, now);
}

} // namespace auburndrum::gateway
