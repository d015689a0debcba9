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

/// The facts that this process knows and how often each has still to be sent.
///
/// Once a fact has been sent half of its times, each repeat from a peer makes for one send less: the more peers know it, the fewer repeats.
class GossipTable
{
public:
    explicit GossipTable(GossipTableOptions options);

    /// Stores @p delta when it is newer than what is known. Returns whether it was.
    bool put(const Delta &delta, std::uint32_t sends, Instant now);
    /// Notes that a peer sent @p value, which is known here.
    void recordRepeat(const DeltaValue &value);
    void erase(const std::string &key);
    /// Drops facts past their lifetime.
    void expire(Instant now);

    /// Takes facts with sends left, least sent first, up to @p maxBytes; counts one send for each.
    std::vector<Delta> takePending(DeltaScope scope, std::size_t maxBytes, Instant now);
    bool hasPending() const;

    /// Returns the facts of the buckets in which @p theirs differs, up to @p maxBytes, from bucket @p first on.
    std::vector<Delta> differingDeltas(const std::vector<std::uint32_t> &theirs, DeltaScope scope, std::size_t first, std::size_t maxBytes, Instant now) const;
    std::vector<Delta> allDeltas(DeltaScope scope, Instant now) const;

    std::uint64_t digest(DeltaScope scope) const;
    /// Returns the low half of each bucket's digest.
    std::vector<std::uint32_t> bucketDigests(DeltaScope scope) const;
    std::size_t size() const;
    std::chrono::seconds ageOf(const std::string &key, Instant now) const;
    const DeltaValue *find(const std::string &key) const;
    /// Calls @p visit with every fact.
    template<typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[key, fact] : m_deltas) {
            visit(fact.value);
        }
    }

private:
    struct StoredDelta
    {
        DeltaValue value;
        Instant trueSince;
        std::uint64_t hash = 0; ///< 0 while the fact takes no part in digests
        std::uint32_t sendsLeft = 0;
        std::uint32_t sendCount = 0;
        std::uint32_t minSends = 0; ///< before repeats from peers count
    };
    using BucketDigests = std::array<std::uint64_t, DigestBucketCount>;

    void xorIntoDigest(const std::string &key, const StoredDelta &fact);
    static Delta toDelta(const StoredDelta &fact, Instant now);
    BucketDigests fullBucketDigests(DeltaScope scope) const;
    static std::size_t bucketOf(const std::string &key);

    GossipTableOptions m_options;
    std::map<std::string, StoredDelta> m_deltas;
    std::map<std::string, StoredDelta *> m_pending;
    BucketDigests m_fleetDigests{};
    BucketDigests m_regionDigests{};
};

} // namespace auburndrum::decision
