#include "auburndrum/operator/claimresolution.h"

namespace auburndrum::operators {

std::vector<InDoubtClaim> inDoubtClaims(const decision::ClaimLedger &ledger, WallTime now)
{
    std::vector<InDoubtClaim> claims;
    for (const decision::ClaimKey &it : ledger.inDoubtKeys(now)) {
        if (const decision::ClaimState *state = ledger.find(it)) {
            claims.push_back({it, state->nonce, state->appendedAt});
        }
    }
    return claims;
}

std::optional<decision::LogRecord> resolutionRecord(const decision::ClaimLedger &ledger, const ClaimResolution &resolution, WallTime now)
{
    const decision::ClaimState *state = ledger.find(resolution.key);
    // Until the deadline the holder may still send the call.
    if (state == nullptr || state->outcome != nullptr || state->deadline >= now) {
        return std::nullopt;
    }
    if (!resolution.ran) {
        return decision::ReleaseRecord{{decision::Release{resolution.key, state->nonce}}};
    }
    decision::Outcome outcome;
    outcome.key = resolution.key;
    outcome.nonce = state->nonce;
    outcome.status = resolution.status;
    outcome.contentType = resolution.contentType;
    outcome.body = resolution.body;
    outcome.source = decision::OutcomeSource::Operator;
    return decision::OutcomeBatchRecord{{std::move(outcome)}};
}

} // namespace auburndrum::operators
