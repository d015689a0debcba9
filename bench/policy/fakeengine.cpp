#include "fakeengine.h"
#include "workload.h"

#include <algorithm>

namespace auburndrum::bench {

using decision::CacheEventKind;
using decision::PieceKey;

namespace {

constexpr double SlowdownPerStream = 0.01; // share of prefill speed that one running stream takes

} // namespace

FakeEngine::FakeEngine(EventLoop &loop, const EngineSettings &settings)
    : m_loop(loop)
    , m_settings(settings)
{
}

void FakeEngine::submit(EngineJob job)
{
    m_queue.push_back(std::move(job));
    startNext();
}

void FakeEngine::kill()
{
    m_alive = false;
    m_cache.clear();
    m_order.clear();
    for (const EngineJob &it : std::exchange(m_queue, {})) {
        it.failed();
    }
}

void FakeEngine::load(std::uint32_t version, std::chrono::nanoseconds duration)
{
    m_settings.version = version;
    m_cache.clear();
    m_order.clear();
    addEvent(CacheEventKind::Cleared, {});
    m_busyUntil = std::max(m_busyUntil, m_loop.now()) + duration;
    m_loop.at(m_busyUntil, [this] {
        startNext();
    });
}

bool FakeEngine::isAlive() const
{
    return m_alive;
}

std::uint32_t FakeEngine::version() const
{
    return m_settings.version;
}

std::uint32_t FakeEngine::running() const
{
    return m_running;
}

std::uint32_t FakeEngine::queued() const
{
    return static_cast<std::uint32_t>(m_queue.size());
}

std::uint64_t FakeEngine::queuedTokens() const
{
    const double busy = std::max(toSeconds(m_busyUntil - m_loop.now()), 0.0) * m_settings.prefillTokensPerSecond;
    auto tokens = static_cast<std::uint64_t>(busy);
    for (const EngineJob &it : m_queue) {
        tokens += tokensToCompute(it);
    }
    return tokens;
}

std::vector<decision::CacheEvent> FakeEngine::takeEvents()
{
    return std::exchange(m_events, {});
}

std::uint64_t FakeEngine::nextEvent() const
{
    return m_nextEvent;
}

std::vector<PieceKey> FakeEngine::keys() const
{
    return {m_order.begin(), m_order.end()};
}

const EngineSettings &FakeEngine::settings() const
{
    return m_settings;
}

void FakeEngine::startNext()
{
    if (m_busy || !m_alive || m_queue.empty() || m_busyUntil > m_loop.now()) {
        return;
    }
    const auto ready = std::find_if(m_queue.begin(), m_queue.end(), [&](const EngineJob &it) {
        return it.ready <= m_loop.now();
    });
    if (ready == m_queue.end()) {
        const auto soonest = std::min_element(m_queue.begin(), m_queue.end(), [](const EngineJob &a, const EngineJob &b) {
            return a.ready < b.ready;
        });
        m_loop.at(soonest->ready, [this] {
            startNext();
        });
        return;
    }
    EngineJob job = std::move(*ready);
    m_queue.erase(ready);
    store(job.imported);
    const std::uint32_t tokens = tokensToCompute(job);
    const double rate = m_settings.prefillTokensPerSecond / (1 + SlowdownPerStream * m_running);
    m_busy = true;
    m_busyUntil = m_loop.now() + seconds(tokens / rate);
    m_loop.at(m_busyUntil, [this, job = std::move(job), tokens] {
        m_busy = false;
        if (!m_alive) {
            job.failed();
            return;
        }
        finishPrefill(job, job.promptTokens - tokens);
        startNext();
    });
}

void FakeEngine::finishPrefill(const EngineJob &job, std::uint32_t cachedTokens)
{
    store(job.keys);
    ++m_running;
    job.firstToken(cachedTokens);
    m_loop.after(job.decodeTime, [this, done = job.done] {
        --m_running;
        done();
    });
}

std::uint32_t FakeEngine::heldPieces(const std::vector<PieceKey> &keys) const
{
    std::uint32_t held = 0;
    for (const PieceKey &it : keys) {
        if (!m_cache.contains(decision::pack(it))) {
            break;
        }
        ++held;
    }
    return held;
}

std::uint32_t FakeEngine::tokensToCompute(const EngineJob &job) const
{
    const std::uint32_t held = m_settings.reuse ? heldPieces(job.keys) * PieceTokens : 0;
    return std::max(job.promptTokens - std::min(held, job.promptTokens), 1U);
}

void FakeEngine::store(const std::vector<PieceKey> &keys)
{
    // The oldest piece is touched last, so that a prompt is evicted from its end.
    for (auto key = keys.rbegin(); key != keys.rend(); ++key) {
        if (key->version != m_settings.version) {
            continue;
        }
        const decision::PackedKey packed = decision::pack(*key);
        if (const auto it = m_cache.find(packed); it != m_cache.end()) {
            m_order.splice(m_order.begin(), m_order, it->second);
            continue;
        }
        m_order.push_front(*key);
        m_cache[packed] = m_order.begin();
        addEvent(CacheEventKind::Stored, *key);
    }
    while (m_order.size() * PieceTokens > m_settings.cacheTokens) {
        addEvent(CacheEventKind::Evicted, m_order.back());
        m_cache.erase(decision::pack(m_order.back()));
        m_order.pop_back();
    }
}

void FakeEngine::addEvent(CacheEventKind kind, const PieceKey &key)
{
    m_events.push_back({m_nextEvent++, kind, key});
}

} // namespace auburndrum::bench
