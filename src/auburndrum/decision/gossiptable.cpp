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
    auto it = m_deltas.find(key);
    if (it == m_deltas.end()) {
        if (m_deltas.size() >= m_options.maxDeltas) {
            return false;
        }
        it = m_deltas.emplace(key, StoredDelta{}).first;
    } else {
        StoredDelta &known = it->second;
        if (!(deltaVersion(known.value) < deltaVersion(delta.value))) {
            recordRepeat(delta.value);
            return false;
        }
        xorIntoDigest(key, known);
    }
    StoredDelta &fact = it->second;
    fact = {delta.value, now - delta.age, 0, sends, 0, sends / 2};
    fact.hash = takesPartInDigest(delta.value) ? factHash(key, delta.value) : 0;
    xorIntoDigest(key, fact);
    m_pending[key] = &fact;
    return true;
}

void GossipTable::recordRepeat(const DeltaValue &value)
{
    const auto it = m_deltas.find(deltaKey(value));
    if (it == m_deltas.end()) {
        return;
    }
    StoredDelta &fact = it->second;
    const bool mayCool = fact.sendsLeft > 0 && fact.sendCount >= fact.minSends;
    if (mayCool && deltaVersion(fact.value) == deltaVersion(value)) {
        --fact.sendsLeft;
    }
}

void GossipTable::erase(const std::string &key)
{
    const auto it = m_deltas.find(key);
    if (it == m_deltas.end()) {
        return;
    }
    xorIntoDigest(key, it->second);
    m_pending.erase(key);
    m_deltas.erase(it);
}

void GossipTable::expire(Instant now)
{
    std::vector<std::string> old;
    for (const auto &[key, fact] : m_deltas) {
        // Compared in seconds: the lifetime of a member record has no value in nanoseconds.
        if (std::chrono::floor<std::chrono::seconds>(now - fact.trueSince) >= deltaLifetime(fact.value)) {
            old.push_back(key);
        }
    }
    for (const std::string &key : old) {
        erase(key);
    }
}

std::vector<Delta> GossipTable::takePending(DeltaScope scope, std::size_t maxBytes, Instant now)
{
    std::erase_if(m_pending, [](const auto &it) {
        return it.second->sendsLeft == 0;
    });
    std::vector<StoredDelta *> order;
    for (const auto &[key, fact] : m_pending) {
        if (scope == DeltaScope::Region || deltaScope(fact->value) == DeltaScope::Fleet) {
            order.push_back(fact);
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const StoredDelta *a, const StoredDelta *b) {
        return a->sendCount < b->sendCount;
    });
    std::vector<Delta> deltas;
    std::size_t bytes = 0;
    for (StoredDelta *fact : order) {
        bytes += deltaBytes(fact->value);
        if (bytes > maxBytes && !deltas.empty()) {
            break;
        }
        --fact->sendsLeft;
        ++fact->sendCount;
        deltas.push_back(toDelta(*fact, now));
    }
    return deltas;
}

bool GossipTable::hasPending() const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [](const auto &it) {
        return it.second->sendsLeft > 0;
    });
}

std::vector<Delta> GossipTable::differingDeltas(
    const std::vector<std::uint32_t> &theirs, DeltaScope scope, std::size_t first, std::size_t maxBytes, Instant now) const
{
    const std::vector<std::uint32_t> ours = bucketDigests(scope);
    std::array<std::vector<const StoredDelta *>, DigestBucketCount> wanted;
    for (const auto &[key, fact] : m_deltas) {
        const std::size_t n = bucketOf(key);
        const bool inScope = scope == DeltaScope::Region || deltaScope(fact.value) == DeltaScope::Fleet;
        if (!inScope || fact.hash == 0 || n >= theirs.size() || theirs[n] == ours[n]) {
            continue;
        }
        wanted[n].push_back(&fact);
    }
    std::vector<Delta> deltas;
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < DigestBucketCount; ++n) {
        for (const StoredDelta *fact : wanted[(first + n) % DigestBucketCount]) {
            bytes += deltaBytes(fact->value);
            if (bytes > maxBytes) {
                return deltas;
            }
            deltas.push_back(toDelta(*fact, now));
        }
    }
    return deltas;
}

std::vector<Delta> GossipTable::allDeltas(DeltaScope scope, Instant now) const
{
    std::vector<Delta> deltas;
    for (const auto &[key, fact] : m_deltas) {
        if (scope == DeltaScope::Region || deltaScope(fact.value) == DeltaScope::Fleet) {
            deltas.push_back(toDelta(fact, now));
        }
    }
    return deltas;
}

std::uint64_t GossipTable::digest(DeltaScope scope) const
{
    std::uint64_t digest = 0;
    for (const std::uint64_t it : fullBucketDigests(scope)) {
        digest ^= it;
    }
    return digest;
}

std::vector<std::uint32_t> GossipTable::bucketDigests(DeltaScope scope) const
{
    std::vector<std::uint32_t> buckets;
    for (const std::uint64_t it : fullBucketDigests(scope)) {
        buckets.push_back(static_cast<std::uint32_t>(it));
    }
    return buckets;
}

GossipTable::BucketDigests GossipTable::fullBucketDigests(DeltaScope scope) const
{
    BucketDigests buckets = m_fleetDigests;
    if (scope == DeltaScope::Region) {
        for (std::size_t n = 0; n < DigestBucketCount; ++n) {
            buckets[n] ^= m_regionDigests[n];
        }
    }
    return buckets;
}

std::size_t GossipTable::size() const
{
    return m_deltas.size();
}

std::chrono::seconds GossipTable::ageOf(const std::string &key, Instant now) const
{
    const auto it = m_deltas.find(key);
    return it == m_deltas.end() ? std::chrono::seconds{} : toDelta(it->second, now).age;
}

const DeltaValue *GossipTable::find(const std::string &key) const
{
    const auto it = m_deltas.find(key);
    return it == m_deltas.end() ? nullptr : &it->second.value;
}

void GossipTable::xorIntoDigest(const std::string &key, const StoredDelta &fact)
{
    BucketDigests &buckets = deltaScope(fact.value) == DeltaScope::Fleet ? m_fleetDigests : m_regionDigests;
    buckets[bucketOf(key)] ^= fact.hash;
}

Delta GossipTable::toDelta(const StoredDelta &fact, Instant now)
{
    return {fact.value, std::chrono::floor<std::chrono::seconds>(now - fact.trueSince)};
}

std::size_t GossipTable::bucketOf(const std::string &key)
{
    return XXH3_64bits(key.data(), key.size()) % DigestBucketCount;
}

} // namespace auburndrum::decision
