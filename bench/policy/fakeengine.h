#pragma once

#include "auburndrum/decision/cacheindex.h"
#include "auburndrum/decision/packedkey.h"
#include "eventloop.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace auburndrum::bench {

/// One request inside a fake engine.
struct EngineJob
{
    std::vector<decision::PieceKey> keys;
    std::uint32_t promptTokens = 0;
    Instant ready{}; ///< when its imports have ended
    std::vector<decision::PieceKey> imported;
    std::chrono::nanoseconds decodeTime{};
    std::function<void(std::uint32_t cachedTokens)> firstToken;
    std::function<void()> done;
    std::function<void()> failed; ///< the engine died before the first token
};

/// Settings of a fake engine.
struct EngineSettings
{
    std::string address;
    std::uint32_t zone = 0;
    double prefillTokensPerSecond = 8000;
    std::uint32_t cacheTokens = 300'000;
    std::uint32_t version = 1;
    bool reuse = true; ///< false: computes every prompt whole
};

/// A model engine: one prefill at a time, a least-recently-used cache of pieces, numbered cache events.
class FakeEngine
{
public:
    FakeEngine(EventLoop &loop, const EngineSettings &settings);

    void submit(EngineJob job);
    void kill();

    /// Loads other weights: nothing is computed meanwhile, and the cache is cleared.
    void load(std::uint32_t version, std::chrono::nanoseconds duration);

    bool isAlive() const;
    std::uint32_t version() const;
    std::uint32_t running() const;
    std::uint32_t queued() const;

    /// Tokens to compute before a new request's turn, now.
    std::uint64_t queuedTokens() const;

    /// Events since the last call; the next number after them.
    std::vector<decision::CacheEvent> takeEvents();
    std::uint64_t nextEvent() const;
    std::vector<decision::PieceKey> keys() const;

    const EngineSettings &settings() const;

private:
    using Order = std::list<decision::PieceKey>;

    void startNext();
    void finishPrefill(const EngineJob &job, std::uint32_t cachedTokens);
    std::uint32_t heldPieces(const std::vector<decision::PieceKey> &keys) const;
    std::uint32_t tokensToCompute(const EngineJob &job) const;
    void store(const std::vector<decision::PieceKey> &keys);
    void addEvent(decision::CacheEventKind kind, const decision::PieceKey &key);

    EventLoop &m_loop;
    EngineSettings m_settings;
    std::deque<EngineJob> m_queue;
    Order m_order; ///< most recently used first
    absl::flat_hash_map<decision::PackedKey, Order::iterator, decision::PackedKeyHash> m_cache;
    std::vector<decision::CacheEvent> m_events;
    std::uint64_t m_nextEvent = 0;
    std::uint32_t m_running = 0;
    Instant m_busyUntil{};
    bool m_busy = false;
    bool m_alive = true;
};

} // namespace auburndrum::bench
