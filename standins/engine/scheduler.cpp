#include "standins/engine/scheduler.h"

#include <algorithm>
#include <utility>

namespace auburndrum::standins {

Scheduler::Scheduler(const SchedulerOptions &options, PrefixCache &cache, SchedulerHooks hooks)
    : m_options(options)
    , m_cache(cache)
    , m_hooks(std::move(hooks))
{
}

SubmitResult<void> Scheduler::submit(const RunRequest &request, Instant now)
{
    if (m_leaving) {
        return SubmitError::Leaving;
    }
    if (m_waiting.size() >= m_options.maxQueued) {
        return SubmitError::Overloaded;
    }
    const auto place = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting &it) {
        return it.request.priority > request.priority;
    });
    m_waiting.insert(place, {request, now});
    return boost::outcome_v2::success();
}

void Scheduler::cancel(const std::string &attempt)
{
    m_waiting.remove_if([&](const Waiting &it) {
        return it.request.attempt == attempt;
    });
    if (m_prefill && m_prefill->request.attempt == attempt) {
        m_prefill.reset();
    }
    m_decoding.erase(attempt);
}

void Scheduler::advance(Instant now)
{
    do {
        decode(now);
        startPrefill(now);
    } while (finishPrefill(now));
}

std::optional<Instant> Scheduler::nextWake() const
{
    std::optional<Instant> out;
    if (m_prefill) {
        out = m_prefill->finishAt;
    }
    for (const auto &[attempt, run] : m_decoding) {
        if (!out || run.nextAt < *out) {
            out = run.nextAt;
        }
    }
    return out;
}

void Scheduler::setLeaving(bool leaving)
{
    m_leaving = leaving;
}

bool Scheduler::isLeaving() const
{
    return m_leaving;
}

SchedulerLoad Scheduler::load() const
{
    SchedulerLoad out;
    out.running = static_cast<std::uint32_t>(m_decoding.size() + (m_prefill ? 1 : 0));
    out.queued = static_cast<std::uint32_t>(m_waiting.size());
    for (const Waiting &it : m_waiting) {
        out.queuedPrefillTokens += it.request.promptTokens - cachedTokens(it.request);
    }
    return out;
}

void Scheduler::startPrefill(Instant now)
{
    if (m_prefill || m_waiting.empty() || m_decoding.size() >= m_options.maxRunning) {
        return;
    }
    const Waiting next = m_waiting.front();
    m_waiting.pop_front();
    const std::uint64_t cached = cachedTokens(next.request);
    const double tokens = static_cast<double>(next.request.promptTokens - cached);
    const std::chrono::duration<double> work(tokens / m_options.prefillTokensPerSecond);
    const Instant startAt = std::min(now, std::max(m_prefillFreeAt, next.arrivedAt));
    m_prefill = Prefill{next.request, startAt + std::chrono::duration_cast<std::chrono::nanoseconds>(work)};
    m_hooks.onStarted(next.request.attempt, cached);
}

bool Scheduler::finishPrefill(Instant now)
{
    if (!m_prefill || m_prefill->finishAt > now) {
        return false;
    }
    const Prefill done = std::move(*m_prefill);
    m_prefill.reset();
    m_prefillFreeAt = done.finishAt;
    m_cache.store(done.request.organisation, done.request.pieceKeys);
    m_decoding[done.request.attempt] = {0, done.request.maxTokens, done.finishAt};
    return true;
}

void Scheduler::decode(Instant now)
{
    for (auto it = m_decoding.begin(); it != m_decoding.end();) {
        Decoding &run = it->second;
        while (run.emitted < run.maxTokens && run.nextAt <= now) {
            const std::uint32_t index = run.emitted++;
            run.nextAt += m_options.decodeStep;
            m_hooks.onToken(it->first, index, run.emitted == run.maxTokens);
        }
        if (run.emitted < run.maxTokens) {
            ++it;
            continue;
        }
        it = m_decoding.erase(it);
    }
}

std::uint64_t Scheduler::cachedTokens(const RunRequest &request) const
{
    const std::uint64_t held = m_cache.heldPrefix(request.organisation, request.pieceKeys) * m_cache.pieceTokens();
    // The last prompt token is always computed: its output is the first token.
    return request.promptTokens == 0 ? 0 : std::min(held, request.promptTokens - 1);
}

} // namespace auburndrum::standins
