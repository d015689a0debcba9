#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace auburndrum::standins {

/// What happened to a piece of the prefix cache.
enum class CacheEventKind {
    Stored,
    Evicted,
    Cleared, ///< the whole cache, after a change of weights
};

/// Returns the kind's wire name.
const char *cacheEventName(CacheEventKind kind);

/// One numbered change of the prefix cache.
struct CacheEvent
{
    std::uint64_t number = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    std::string key;
    std::uint64_t tokens = 0;
};

/// A run of events and the bounds of what is kept.
struct CacheEventPage
{
    std::uint64_t first = 0; ///< lowest kept number
    std::uint64_t next = 0; ///< number of the next event
    std::vector<CacheEvent> events;
};

/// The latest cache events. A dropped event uses up its number, so that readers see a gap.
class CacheEventLog
{
public:
    void append(CacheEventKind kind, const std::string &key, std::uint64_t tokens);

    /// Loses the next events.
    void dropNext(std::uint32_t count);

    CacheEventPage read(std::uint64_t from) const;
    std::uint64_t next() const;

private:
    static constexpr std::size_t KeptEvents = 10'000;

    std::deque<CacheEvent> m_events;
    std::uint64_t m_next = 1;
    std::uint32_t m_toDrop = 0;
};

} // namespace auburndrum::standins
