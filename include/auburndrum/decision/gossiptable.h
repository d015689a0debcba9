#pragma once

#include "auburndrum/decision/gossipdelta.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburndrum::decision {

constexpr std::size_t DigestBuckets = 64;

struct GossipTableOptions
{
    std::size_t maxFacts = 20000;
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
    void noteRepeat(const DeltaValue &value);
    void erase(const std::string &key);
    /// Drops facts past their lifetime.
    void expire(Instant now);

    /// Takes facts with sends left, least sent first, up to @p maxBytes; counts one send for each.
    std::vector<Delta> takeHot(DeltaScope scope, std::size_t maxBytes, Instant now);
    bool hasHot() const;

    /// Returns the facts of the buckets in which @p theirs differs, up to @p maxBytes, from bucket @p first on.
    std::vector<Delta> differing(const std::vector<std::uint32_t> &theirs, DeltaScope scope, std::size_t first, std::size_t maxBytes, Instant now) const;
    std::vector<Delta> all(DeltaScope scope, Instant now) const;

    std::uint64_t digest(DeltaScope scope) const;
    /// Returns the low half of each bucket's digest.
    std::vector<std::uint32_t> buckets(DeltaScope scope) const;
    std::size_t size() const;
    std::chrono::seconds ageOf(const std::string &key, Instant now) const;
    const DeltaValue *find(const std::string &key) const;
    /// Calls @p visit with every fact.
    template<typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[key, fact] : m_facts) {
            visit(fact.value);
        }
    }

private:
    struct Fact
    {
        DeltaValue value;
        Instant since;
        std::uint64_t hash = 0; ///< 0 while the fact takes no part in digests
        std::uint32_t sendsLeft = 0;
        std::uint32_t sent = 0;
        std::uint32_t leastSends = 0; ///< before repeats from peers count
    };
    using Buckets = std::array<std::uint64_t, DigestBuckets>;

    void toggleDigest(const std::string &key, const Fact &fact);
    static Delta toDelta(const Fact &fact, Instant now);
    Buckets digests(DeltaScope scope) const;
    static std::size_t bucketOf(const std::string &key);

    GossipTableOptions m_options;
    std::map<std::string, Fact> m_facts;
    std::map<std::string, Fact *> m_hot;
    Buckets m_fleet{};
    Buckets m_region{};
};

} // namespace auburndrum::decision
