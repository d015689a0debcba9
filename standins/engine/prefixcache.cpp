#include "standins/engine/prefixcache.h"

#include <set>

namespace auburndrum::standins {

PrefixCache::PrefixCache(std::uint64_t capacityTokens, std::uint32_t pieceTokens)
    : m_capacityTokens(capacityTokens)
    , m_pieceTokens(pieceTokens)
{
}

std::size_t PrefixCache::heldPrefix(const std::string &organisation, const std::vector<std::string> &keys) const
{
    std::size_t n = 0;
    while (n < keys.size() && holds(organisation, keys[n])) {
        ++n;
    }
    return n;
}

bool PrefixCache::holds(const std::string &organisation, const std::string &key) const
{
    return m_pieces.contains({organisation, key});
}

void PrefixCache::store(const std::string &organisation, const std::vector<std::string> &keys)
{
    // Last piece first, so that the first piece ends as the most recently used.
    for (auto key = keys.rbegin(); key != keys.rend(); ++key) {
        const Id id(organisation, *key);
        const auto held = m_pieces.find(id);
        if (held != m_pieces.end()) {
            m_use.splice(m_use.end(), m_use, held->second);
            continue;
        }
        m_pieces[id] = m_use.insert(m_use.end(), id);
        m_events.append(CacheEventKind::Stored, *key, m_pieceTokens);
    }
    evictUntilFits();
}

void PrefixCache::clear()
{
    m_use.clear();
    m_pieces.clear();
    m_events.append(CacheEventKind::Cleared, "", 0);
}

std::vector<std::string> PrefixCache::keys() const
{
    std::set<std::string> out;
    for (const Id &it : m_use) {
        out.insert(it.second);
    }
    return {out.begin(), out.end()};
}

std::uint64_t PrefixCache::usedTokens() const
{
    return m_pieces.size() * m_pieceTokens;
}

std::uint64_t PrefixCache::capacityTokens() const
{
    return m_capacityTokens;
}

std::uint32_t PrefixCache::pieceTokens() const
{
    return m_pieceTokens;
}

CacheEventLog &PrefixCache::events()
{
    return m_events;
}

void PrefixCache::evictUntilFits()
{
    while (usedTokens() > m_capacityTokens) {
        m_events.append(CacheEventKind::Evicted, m_use.front().second, m_pieceTokens);
        m_pieces.erase(m_use.front());
        m_use.pop_front();
    }
}

} // namespace auburndrum::standins
