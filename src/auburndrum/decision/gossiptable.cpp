#include "auburndrum/decision/gossiptable.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

std::uint64_t deltaHash(const std::string &key, const DeltaValue &value)
{
    const RecordVersion version = deltaVersion(value);
    const std::array<std::uint64_t, 2> parts{version.major, version.minor};
    return XXH3_64bits_withSeed(parts.data(), sizeof(parts), XXH3_64bits(key.data(), key.size()));
}

/// Returns whether @p value counts in digests. Records of dead members don't: peers forget them at different times, and their digests must not differ by that.
bool isInDigest(const DeltaValue &value)
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
    StoredDelta &stored = it->second;
    stored = {delta.value, now - delta.age, 0, sends, 0, sends / 2};
    stored.hash = isInDigest(delta.value) ? deltaHash(key, delta.value) : 0;
    xorIntoDigest(key, stored);
    m_pending[key] = &stored;
    return true;
}

void GossipTable::recordRepeat(const DeltaValue &value)
{
    const auto it = m_deltas.find(deltaKey(value));
    if (it == m_deltas.end()) {
        return;
    }
    StoredDelta &stored = it->second;
    const bool canReduceSends = stored.sendsLeft > 0 && stored.sendCount >= stored.minSends;
    if (canReduceSends && deltaVersion(stored.value) == deltaVersion(value)) {
        --stored.sendsLeft;
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
    std::vector<std::string> expired;
    for (const auto &[key, stored] : m_deltas) {
        // Compared in seconds, since the unlimited lifetime of member records would overflow in nanoseconds.
        if (std::chrono::floor<std::chrono::seconds>(now - stored.trueSince) >= deltaLifetime(stored.value)) {
            expired.push_back(key);
        }
    }
    for (const std::string &key : expired) {
        erase(key);
    }
}

std::vector<Delta> GossipTable::takePending(DeltaScope scope, std::size_t maxBytes, Instant now)
{
    std::erase_if(m_pending, [](const auto &it) {
        return it.second->sendsLeft == 0;
    });
    std::vector<StoredDelta *> order;
    for (const auto &[key, stored] : m_pending) {
        if (scope == DeltaScope::Region || deltaScope(stored->value) == DeltaScope::Fleet) {
            order.push_back(stored);
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const StoredDelta *a, const StoredDelta *b) {
        return a->sendCount < b->sendCount;
    });
    std::vector<Delta> deltas;
    std::size_t bytes = 0;
    for (StoredDelta *stored : order) {
        bytes += deltaBytes(stored->value);
        if (bytes > maxBytes && !deltas.empty()) {
            break;
        }
        --stored->sendsLeft;
        ++stored->sendCount;
        deltas.push_back(toDelta(*stored, now));
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
    const std::vector<std::uint32_t> &peerDigests, DeltaScope scope, std::size_t firstBucket, std::size_t maxBytes, Instant now) const
{
    const std::vector<std::uint32_t> ownDigests = bucketDigests(scope);
    std::array<std::vector<const StoredDelta *>, DigestBucketCount> differing;
    for (const auto &[key, stored] : m_deltas) {
        const std::size_t n = bucketOf(key);
        const bool inScope = scope == DeltaScope::Region || deltaScope(stored.value) == DeltaScope::Fleet;
        if (!inScope || stored.hash == 0 || n >= peerDigests.size() || peerDigests[n] == ownDigests[n]) {
            continue;
        }
        differing[n].push_back(&stored);
    }
    std::vector<Delta> deltas;
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < DigestBucketCount; ++n) {
        for (const StoredDelta *stored : differing[(firstBucket + n) % DigestBucketCount]) {
            bytes += deltaBytes(stored->value);
            if (bytes > maxBytes) {
                return deltas;
            }
            deltas.push_back(toDelta(*stored, now));
        }
    }
    return deltas;
}

std::vector<Delta> GossipTable::allDeltas(DeltaScope scope, Instant now) const
{
    std::vector<Delta> deltas;
    for (const auto &[key, stored] : m_deltas) {
        if (scope == DeltaScope::Region || deltaScope(stored.value) == DeltaScope::Fleet) {
            deltas.push_back(toDelta(stored, now));
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

void GossipTable::xorIntoDigest(const std::string &key, const StoredDelta &stored)
{
    BucketDigests &buckets = deltaScope(stored.value) == DeltaScope::Fleet ? m_fleetDigests : m_regionDigests;
    buckets[bucketOf(key)] ^= stored.hash;
}

Delta GossipTable::toDelta(const StoredDelta &stored, Instant now)
{
    return {stored.value, std::chrono::floor<std::chrono::seconds>(now - stored.trueSince)};
}

std::size_t GossipTable::bucketOf(const std::string &key)
{
    return XXH3_64bits(key.data(), key.size()) % DigestBucketCount;
}

} // namespace auburndrum::decision
