#include "auburndrum/operator/claimresolution.h"

namespace auburndrum::operators {

std::vector<ClaimDoubt> doubtsOf(const decision::ClaimLedger &ledger, WallTime now)
{
    std::vector<ClaimDoubt> doubts;
    for (const decision::ClaimKey &it : ledger.inDoubtKeys(now)) {
        if (const decision::ClaimState *state = ledger.find(it)) {
            doubts.push_back({it, state->nonce, state->appendedAt});
        }
    }
    return doubts;
}

std::optional<decision::LogRecord> resolutionRecord(const decision::ClaimLedger &ledger, const ClaimFinding &finding, WallTime now)
{
    const decision::ClaimState *state = ledger.find(finding.key);
    // Until the deadline the holder may still send the call.
    if (state == nullptr || state->outcome != nullptr || state->deadline >= now) {
        return std::nullopt;
    }
    if (!finding.ran) {
        return decision::ReleaseRecord{{decision::Release{finding.key, state->nonce}}};
    }
    decision::Outcome outcome;
    outcome.key = finding.key;
    outcome.nonce = state->nonce;
    outcome.status = finding.status;
    outcome.contentType = finding.contentType;
    outcome.body = finding.body;
    outcome.source = decision::OutcomeSource::Operator;
    return decision::OutcomeBatchRecord{{std::move(outcome)}};
}

} // namespace auburndrum::operators
