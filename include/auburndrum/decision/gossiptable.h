#pragma once

#include "auburndrum/decision/gossipdelta.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburndrum::decision {

constexpr std::size_t DigestBucketCount = 64;

struct GossipTableOptions
{
    std::size_t maxDeltas = 20000;
};

/// The deltas that this process stores and how many times each has still to be sent.
///
/// Once a delta has been sent half of its times, each copy received from a peer saves one send: the more peers know it, the fewer copies are sent.
class GossipTable
{
public:
    explicit GossipTable(GossipTableOptions options);

    /// Stores @p delta, to be sent @p sends times, if it is newer than the stored one. Returns whether it was stored.
    bool put(const Delta &delta, std::uint32_t sends, Instant now);
    /// Records that a peer sent @p value, which is already stored.
    void recordRepeat(const DeltaValue &value);
    void erase(const std::string &key);
    /// Removes deltas past their lifetime.
    void expire(Instant now);

    /// Returns deltas with sends left, least sent first, up to @p maxBytes, and counts one send for each.
    std::vector<Delta> takePending(DeltaScope scope, std::size_t maxBytes, Instant now);
    bool hasPending() const;

    /// Returns the deltas of the buckets whose digest differs in @p peerDigests, up to @p maxBytes, starting at bucket @p firstBucket.
    std::vector<Delta> differingDeltas(
        const std::vector<std::uint32_t> &peerDigests, DeltaScope scope, std::size_t firstBucket, std::size_t maxBytes, Instant now) const;
    std::vector<Delta> allDeltas(DeltaScope scope, Instant now) const;

    std::uint64_t digest(DeltaScope scope) const;
    /// Returns the low half of the digest of each bucket.
    std::vector<std::uint32_t> bucketDigests(DeltaScope scope) const;
    std::size_t size() const;
    std::chrono::seconds ageOf(const std::string &key, Instant now) const;
    const DeltaValue *find(const std::string &key) const;
    /// Calls @p visit with the value of every stored delta.
    template<typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[key, stored] : m_deltas) {
            visit(stored.value);
        }
    }

private:
    struct StoredDelta
    {
        DeltaValue value;
        Instant trueSince;
        std::uint64_t hash = 0; ///< 0 when the delta is left out of digests
        std::uint32_t sendsLeft = 0;
        std::uint32_t sendCount = 0;
        std::uint32_t minSends = 0; ///< sends before copies from peers reduce `sendsLeft`
    };
    using BucketDigests = std::array<std::uint64_t, DigestBucketCount>;

    void xorIntoDigest(const std::string &key, const StoredDelta &stored);
    static Delta toDelta(const StoredDelta &stored, Instant now);
    BucketDigests fullBucketDigests(DeltaScope scope) const;
    static std::size_t bucketOf(const std::string &key);

    GossipTableOptions m_options;
    std::map<std::string, StoredDelta> m_deltas;
    std::map<std::string, StoredDelta *> m_pending;
    BucketDigests m_fleetDigests{};
    BucketDigests m_regionDigests{};
};

} // namespace auburndrum::decision
