#pragma once

#include "standins/engine/cacheevents.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace auburndrum::standins {

/// Prompt pieces kept in limited memory, by organisation and piece key. The least recently used piece goes first.
class PrefixCache
{
public:
    /// @param capacityTokens tokens that fit in memory
    /// @param pieceTokens tokens of one piece
    PrefixCache(std::uint64_t capacityTokens, std::uint32_t pieceTokens);

    /// Returns how many of the leading pieces are held.
    std::size_t heldPrefix(const std::string &organisation, const std::vector<std::string> &keys) const;

    bool holds(const std::string &organisation, const std::string &key) const;

    /// Keeps the pieces as just used and evicts others to make room. A prefix loses its last pieces first.
    void store(const std::string &organisation, const std::vector<std::string> &keys);

    /// Drops everything, as a change of weights does.
    void clear();

    /// Returns the keys held, each once.
    std::vector<std::string> keys() const;

    std::uint64_t usedTokens() const;
    std::uint64_t capacityTokens() const;
    std::uint32_t pieceTokens() const;

    CacheEventLog &events();

private:
    using Id = std::pair<std::string, std::string>; ///< organisation, key

    void evictUntilFits();

    std::uint64_t m_capacityTokens;
    std::uint32_t m_pieceTokens;
    std::list<Id> m_use; ///< least recently used first
    std::map<Id, std::list<Id>::iterator> m_pieces;
    CacheEventLog m_events;
};

} // namespace auburndrum::standins
