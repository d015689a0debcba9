#include "standins/engine/engineserver.h"

#include "standins/engine/answerformat.h"
#include "standins/engine/promptrequest.h"
#include "standins/engine/tokens.h"

#include "auburndrum/base/randomid.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace auburndrum::standins {

namespace {

constexpr std::uint8_t DefaultPriority = 5;

std::vector<std::string> splitKeys(const QByteArray &text)
{
    return absl::StrSplit(text.toStdString(), ',', absl::SkipWhitespace());
}

std::uint8_t priorityOf(const QByteArray &text)
{
    return text.isEmpty() ? DefaultPriority : static_cast<std::uint8_t>(std::clamp(text.toInt(), 0, 9));
}

} // namespace

void EngineServer::handleCompletion(const std::shared_ptr<Reply> &reply, bool chat)
{
    const net::Exchange &request = reply->request();
    const std::optional<PromptRequest> parsed = parsePromptRequest(request.body().toStdString(), chat);
    if (!parsed) {
        reply->respondError(400, "bad_request", "malformed completion request");
        return;
    }
    if (refuseVersion(*reply)) {
        return;
    }
    RunRequest run;
    run.attempt = request.header("X-Attempt-Id").toStdString();
    if (run.attempt.empty()) {
        run.attempt = randomId();
    }
    run.organisation = request.header("X-Cache-Salt").toStdString();
    run.pieceKeys = splitKeys(request.header("X-Piece-Keys"));
    run.promptTokens = promptTokens(parsed->prompt);
    run.maxTokens = parsed->maxTokens;
    run.priority = priorityOf(request.header("X-Priority"));
    if (m_streams.find(run.attempt, monotonicNow())) {
        reply->respondError(400, "duplicate_attempt", "this attempt id was used before");
        return;
    }
    const SubmitResult<void> taken = m_scheduler.submit(run, monotonicNow());
    if (!taken) {
        refuseRun(*reply, taken.error());
        return;
    }
    StreamRecord record;
    record.promptHash = promptHash(parsed->prompt);
    record.version = m_orders.version();
    record.chat = chat;
    record.promptTokens = run.promptTokens;
    record.maxTokens = run.maxTokens;
    m_streams.add(run.attempt, record);
    m_runs.add({run.attempt, run.organisation, record.promptHash, record.version, run.promptTokens, 0, wallNow(), false});
    const bool wrongAttempt = m_standIn.faults().take(FaultMode::WrongAttempt, request.path().toStdString()).has_value();
    const std::string echoed = wrongAttempt ? "wrong-" + run.attempt : run.attempt;
    m_subscribers[run.attempt].push_back({reply, echoed, 0, parsed->stream});
    advance();
}

void EngineServer::refuseRun(Reply &reply, SubmitError error)
{
    m_runs.addRefused();
    const QByteArray incarnation = QByteArray::number(static_cast<qulonglong>(m_options.incarnation));
    if (error == SubmitError::Leaving) {
        reply.respondError(503, "leaving", "this engine is leaving", {{"X-Leaving", "1"}, {"X-Incarnation", incarnation}});
        return;
    }
    reply.respondError(503, "overloaded", "the queue is full", {{"Retry-After", "1"}, {"X-Incarnation", incarnation}});
}

bool EngineServer::refuseVersion(Reply &reply)
{
    const std::string expected = reply.request().header("X-Expected-Version").toStdString();
    if (expected.empty() || expected == m_orders.version()) {
        return false;
    }
    if (m_standIn.faults().take(FaultMode::IgnoreVersion, reply.request().path().toStdString())) {
        return false;
    }
    reply.respondError(
        409, "version_mismatch", "this engine serves " + m_orders.version(), {{"X-Weight-Version", QByteArray::fromStdString(m_orders.version())}});
    return true;
}

void EngineServer::handleStreamRead(const std::shared_ptr<Reply> &reply, const std::string &attempt)
{
    const StreamRecord *record = m_streams.find(attempt, monotonicNow());
    if (record == nullptr) {
        reply->respondError(404, "not_found", "no such stream");
        return;
    }
    const Subscriber subscriber{reply, attempt, reply->request().query("from").toUInt(), true};
    if (record->started) {
        replay(attempt, *record, subscriber);
    }
    if (!record->endedAt) {
        m_subscribers[attempt].push_back(subscriber);
    }
}

void EngineServer::handleCancel(Reply &reply, const std::string &attempt)
{
    m_scheduler.cancel(attempt);
    m_streams.remove(attempt);
    m_subscribers.erase(attempt);
    m_runs.setCancelled(attempt);
    reply.respondEmpty();
    advance();
}

void EngineServer::onStarted(const std::string &attempt, std::uint64_t cachedTokens)
{
    StreamRecord *record = m_streams.find(attempt, monotonicNow());
    record->started = true;
    record->cachedTokens = cachedTokens;
    m_runs.setCached(attempt, cachedTokens);
    for (const Subscriber &it : m_subscribers[attempt]) {
        if (it.stream) {
            it.reply->startStream(200, answerHeaders(it, *record));
        }
    }
}

void EngineServer::onToken(const std::string &attempt, std::uint32_t index, bool last)
{
    StreamRecord *record = m_streams.find(attempt, monotonicNow());
    record->emitted = index + 1;
    const QByteArray event = tokenEvent(attempt, *record, index);
    for (const Subscriber &it : m_subscribers[attempt]) {
        if (it.stream && index >= it.from) {
            it.reply->writeChunk(event);
        }
    }
    if (last) {
        record->endedAt = monotonicNow();
        finish(attempt, *record);
    }
}

void EngineServer::replay(const std::string &attempt, const StreamRecord &record, const Subscriber &subscriber)
{
    subscriber.reply->startStream(200, answerHeaders(subscriber, record));
    for (std::uint32_t n = subscriber.from; n < record.emitted; ++n) {
        subscriber.reply->writeChunk(tokenEvent(attempt, record, n));
    }
    if (record.endedAt) {
        subscriber.reply->writeChunk(doneEvent());
        subscriber.reply->finishStream();
    }
}

void EngineServer::finish(const std::string &attempt, const StreamRecord &record)
{
    const auto node = m_subscribers.extract(attempt);
    if (node.empty()) {
        return;
    }
    for (const Subscriber &it : node.mapped()) {
        if (it.stream) {
            it.reply->writeChunk(doneEvent());
            it.reply->finishStream();
            continue;
        }
        it.reply->respondJson(200, wholeAnswer(attempt, record), answerHeaders(it, record));
    }
}

std::vector<net::Header> EngineServer::answerHeaders(const Subscriber &subscriber, const StreamRecord &record) const
{
    std::vector<net::Header> out = {{"X-Attempt-Id", QByteArray::fromStdString(subscriber.echoedAttempt)},
                                    {"X-Weight-Version", QByteArray::fromStdString(record.version)},
                                    {"X-Cached-Tokens", QByteArray::number(static_cast<qulonglong>(record.cachedTokens))},
                                    {"X-Incarnation", QByteArray::number(static_cast<qulonglong>(m_options.incarnation))}};
    if (subscriber.stream) {
        out.push_back({"Content-Type", "text/event-stream"});
    }
    if (m_scheduler.isLeaving()) {
        out.push_back({"X-Leaving", "1"});
    }
    return out;
}

void EngineServer::advance()
{
    m_scheduler.advance(monotonicNow());
    const std::optional<Instant> next = m_scheduler.nextWake();
    if (!next) {
        m_wakeTimer.stop();
        return;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - monotonicNow());
    m_wakeTimer.start(std::max(wait, std::chrono::milliseconds(0)));
}

} // namespace auburndrum::standins
