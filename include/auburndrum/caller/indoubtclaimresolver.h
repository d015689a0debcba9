#pragma once

#include "auburndrum/caller/callercontext.h"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace auburndrum::caller {

/// Hooks of an InDoubtClaimResolver.
struct InDoubtClaimResolverHooks
{
    std::function<bool(const decision::ClaimKey &)> isResponsible; ///< whether this entry VM looks up the key's outcome
    std::function<const decision::ClaimLedger &()> ledger;
};

/// @brief Queries services for the outcome of in-doubt claims, whose process died, and records the outcomes.
///
/// A service that doesn't know the key is no proof that the call was not run: a call in transit may run later. Such a
/// claim stays in doubt and visible to operators.
class InDoubtClaimResolver
{
public:
    InDoubtClaimResolver(CallerContext &context, InDoubtClaimResolverHooks hooks);

    /// Starts a lookup for each claim that is in doubt at `now` and has no lookup running.
    void resolveInDoubtClaims(WallTime now);

private:
    void lookUp(const decision::ClaimKey &key, const std::string &nonce, const std::string &path);

    CallerContext &m_context;
    InDoubtClaimResolverHooks m_hooks;
    std::set<std::string> m_runningLookups; ///< nonces of the claims that are being looked up
};

} // namespace auburndrum::caller
