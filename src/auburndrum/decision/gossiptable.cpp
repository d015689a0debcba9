#include "auburndrum/decision/gossiptable.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

std::uint64_t factHash(const std::string &key, const DeltaValue &value)
{
    const RecordVersion version = deltaVersion(value);
    const std::array<std::uint64_t, 2> parts{version.major, version.minor};
    return XXH3_64bits_withSeed(parts.data(), sizeof(parts), XXH3_64bits(key.data(), key.size()));
}

/// Peers forget the dead and the outdated at different times, which must not show as a difference.
bool takesPartInDigest(const DeltaValue &value)
{
    const auto *record = std::get_if<MemberRecord>(&value);
    return record == nullptr || record->liveness != Liveness::Dead;
}

} // namespace

GossipTable::GossipTable(GossipTableOptions options)
    : m_options(options)
{
}

bool GossipTable::put(const Delta &delta, std::uint32_t sends, Instant now)
{
    if (delta.age >= deltaLifetime(delta.value)) {
        return false;
    }
    const std::string key = deltaKey(delta.value);
    auto it = m_facts.find(key);
    if (it == m_facts.end()) {
        if (m_facts.size() >= m_options.maxFacts) {
            return false;
        }
        it = m_facts.emplace(key, Fact{}).first;
    } else {
        Fact &known = it->second;
        if (!(deltaVersion(known.value) < deltaVersion(delta.value))) {
            noteRepeat(delta.value);
            return false;
        }
        toggleDigest(key, known);
    }
    Fact &fact = it->second;
    fact = {delta.value, now - delta.age, 0, sends, 0, sends / 2};
    fact.hash = takesPartInDigest(delta.value) ? factHash(key, delta.value) : 0;
    toggleDigest(key, fact);
    m_hot[key] = &fact;
    return true;
}

void GossipTable::noteRepeat(const DeltaValue &value)
{
    const auto it = m_facts.find(deltaKey(value));
    if (it == m_facts.end()) {
        return;
    }
    Fact &fact = it->second;
    const bool mayCool = fact.sendsLeft > 0 && fact.sent >= fact.leastSends;
    if (mayCool && deltaVersion(fact.value) == deltaVersion(value)) {
        --fact.sendsLeft;
    }
}

void GossipTable::erase(const std::string &key)
{
    const auto it = m_facts.find(key);
    if (it == m_facts.end()) {
        return;
    }
    toggleDigest(key, it->second);
    m_hot.erase(key);
    m_facts.erase(it);
}

void GossipTable::expire(Instant now)
{
    std::vector<std::string> old;
    for (const auto &[key, fact] : m_facts) {
        // Compared in seconds: the lifetime of a member record has no value in nanoseconds.
        if (std::chrono::floor<std::chrono::seconds>(now - fact.since) >= deltaLifetime(fact.value)) {
            old.push_back(key);
        }
    }
    for (const std::string &key : old) {
        erase(key);
    }
}

std::vector<Delta> GossipTable::takeHot(DeltaScope scope, std::size_t maxBytes, Instant now)
{
    std::erase_if(m_hot, [](const auto &it) {
        return it.second->sendsLeft == 0;
    });
    std::vector<Fact *> order;
    for (const auto &[key, fact] : m_hot) {
        if (scope == DeltaScope::Region || deltaScope(fact->value) == DeltaScope::Fleet) {
            order.push_back(fact);
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const Fact *a, const Fact *b) {
        return a->sent < b->sent;
    });
    std::vector<Delta> deltas;
    std::size_t bytes = 0;
    for (Fact *fact : order) {
        bytes += deltaBytes(fact->value);
        if (bytes > maxBytes && !deltas.empty()) {
            break;
        }
        --fact->sendsLeft;
        ++fact->sent;
        deltas.push_back(toDelta(*fact, now));
    }
    return deltas;
}

bool GossipTable::hasHot() const
{
    return std::any_of(m_hot.begin(), m_hot.end(), [](const auto &it) {
        return it.second->sendsLeft > 0;
    });
}

std::vector<Delta> GossipTable::differing(
    const std::vector<std::uint32_t> &theirs, DeltaScope scope, std::size_t first, std::size_t maxBytes, Instant now) const
{
    const std::vector<std::uint32_t> ours = buckets(scope);
    std::array<std::vector<const Fact *>, DigestBuckets> wanted;
    for (const auto &[key, fact] : m_facts) {
        const std::size_t n = bucketOf(key);
        const bool inScope = scope == DeltaScope::Region || deltaScope(fact.value) == DeltaScope::Fleet;
        if (!inScope || fact.hash == 0 || n >= theirs.size() || theirs[n] == ours[n]) {
            continue;
        }
        wanted[n].push_back(&fact);
    }
    std::vector<Delta> deltas;
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < DigestBuckets; ++n) {
        for (const Fact *fact : wanted[(first + n) % DigestBuckets]) {
            bytes += deltaBytes(fact->value);
            if (bytes > maxBytes) {
                return deltas;
            }
            deltas.push_back(toDelta(*fact, now));
        }
    }
    return deltas;
}

std::vector<Delta> GossipTable::all(DeltaScope scope, Instant now) const
{
    std::vector<Delta> deltas;
    for (const auto &[key, fact] : m_facts) {
        if (scope == DeltaScope::Region || deltaScope(fact.value) == DeltaScope::Fleet) {
            deltas.push_back(toDelta(fact, now));
        }
    }
    return deltas;
}

std::uint64_t GossipTable::digest(DeltaScope scope) const
{
    std::uint64_t digest = 0;
    for (const std::uint64_t it : digests(scope)) {
        digest ^= it;
    }
    return digest;
}

std::vector<std::uint32_t> GossipTable::buckets(DeltaScope scope) const
{
    std::vector<std::uint32_t> buckets;
    for (const std::uint64_t it : digests(scope)) {
        buckets.push_back(static_cast<std::uint32_t>(it));
    }
    return buckets;
}

GossipTable::Buckets GossipTable::digests(DeltaScope scope) const
{
    Buckets buckets = m_fleet;
    if (scope == DeltaScope::Region) {
        for (std::size_t n = 0; n < DigestBuckets; ++n) {
            buckets[n] ^= m_region[n];
        }
    }
    return buckets;
}

std::size_t GossipTable::size() const
{
    return m_facts.size();
}

std::chrono::seconds GossipTable::ageOf(const std::string &key, Instant now) const
{
    const auto it = m_facts.find(key);
    return it == m_facts.end() ? std::chrono::seconds{} : toDelta(it->second, now).age;
}

const DeltaValue *GossipTable::find(const std::string &key) const
{
    const auto it = m_facts.find(key);
    return it == m_facts.end() ? nullptr : &it->second.value;
}

void GossipTable::toggleDigest(const std::string &key, const Fact &fact)
{
    Buckets &buckets = deltaScope(fact.value) == DeltaScope::Fleet ? m_fleet : m_region;
    buckets[bucketOf(key)] ^= fact.hash;
}

Delta GossipTable::toDelta(const Fact &fact, Instant now)
{
    return {fact.value, std::chrono::floor<std::chrono::seconds>(now - fact.since)};
}

std::size_t GossipTable::bucketOf(const std::string &key)
{
    return XXH3_64bits(key.data(), key.size()) % DigestBuckets;
}

} // namespace auburndrum::decision
