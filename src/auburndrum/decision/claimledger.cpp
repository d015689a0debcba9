#include "auburndrum/decision/claimledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburndrum::decision {

ClaimLedger::ClaimLedger(ClaimLedgerOptions options)
    : m_options(options)
{
}

ClaimDecision ClaimLedger::apply(Offset offset, WallTime at, const Claim &claim)
{
    ClaimDecision decision{claim.key, claim.incarnation, claim.nonce, ClaimVerdict::Lost};
    // The process that appended the claim stops waiting at the deadline. A later claim would hold the key without a call that uses it.
    if (at > claim.deadline) {
        decision.verdict = ClaimVerdict::TooLate;
        return decision;
    }
    ClaimState state{claim.fingerprint, claim.incarnation, claim.nonce, claim.deadline, offset, at, nullptr};
    if (m_claims.try_emplace(claim.key, std::move(state)).second) {
        m_expiryQueue.push_back({at, offset, claim.key});
        decision.verdict = ClaimVerdict::Won;
    }
    return decision;
}

bool ClaimLedger::apply(const Outcome &outcome)
{
    const auto it = m_claims.find(outcome.key);
    const bool settles = it != m_claims.end() && it->second.nonce == outcome.nonce && !it->second.outcome;
    if (settles) {
        it->second.outcome = std::make_shared<const Outcome>(outcome);
    }
    return settles;
}

bool ClaimLedger::apply(const Release &release)
{
    const auto it = m_claims.find(release.key);
    const bool withdraws = it != m_claims.end() && it->second.nonce == release.nonce && !it->second.outcome;
    if (withdraws) {
        m_claims.erase(it);
    }
    return withdraws;
}

const ClaimState *ClaimLedger::find(const ClaimKey &key) const
{
    const auto it = m_claims.find(key);
    return it == m_claims.end() ? nullptr : &it->second;
}

void ClaimLedger::expire(WallTime now)
{
    while (!m_expiryQueue.empty() && m_expiryQueue.front().at + m_options.deduplicationWindow <= now) {
        const ExpiryEntry &oldest = m_expiryQueue.front();
        const auto it = m_claims.find(oldest.key);
        if (it != m_claims.end() && it->second.offset == oldest.offset) {
            m_claims.erase(it);
        }
        m_expiryQueue.pop_front();
    }
}

std::vector<ClaimKey> ClaimLedger::inDoubtKeys(WallTime now) const
{
    std::vector<ClaimKey> keys;
    for (const auto &[key, state] : m_claims) {
        if (!state.outcome && state.deadline < now) {
            keys.push_back(key);
        }
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

std::size_t ClaimLedger::size() const
{
    return m_claims.size();
}

std::chrono::milliseconds ClaimLedger::deduplicationWindow() const
{
    return m_options.deduplicationWindow;
}

void ClaimLedger::saveTo(SnapshotRecord &snapshot) const
{
    for (const auto &[key, state] : m_claims) {
        SnapshotClaim it{{key, state.fingerprint, state.incarnation, state.nonce, state.deadline}, state.offset, state.appendedAt, {}};
        if (state.outcome) {
            it.outcome.push_back(*state.outcome);
        }
        snapshot.claims.push_back(std::move(it));
    }
    const auto isOlder = [](const SnapshotClaim &a, const SnapshotClaim &b) {
        return std::tie(a.offset, a.claim.key) < std::tie(b.offset, b.claim.key);
    };
    std::sort(snapshot.claims.begin(), snapshot.claims.end(), isOlder);
}

void ClaimLedger::loadFrom(const SnapshotRecord &snapshot)
{
    m_claims.clear();
    m_expiryQueue.clear();
    for (const SnapshotClaim &it : snapshot.claims) {
        const Claim &claim = it.claim;
        std::shared_ptr<const Outcome> outcome = it.outcome.empty() ? nullptr : std::make_shared<const Outcome>(it.outcome.front());
        m_claims[claim.key] = {claim.fingerprint, claim.incarnation, claim.nonce, claim.deadline, it.offset, it.at, std::move(outcome)};
        m_expiryQueue.push_back({it.at, it.offset, claim.key});
    }
}

} // namespace auburndrum::decision
