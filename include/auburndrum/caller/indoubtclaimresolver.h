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
    std::function<bool(const decision::ClaimKey &)> isResponsible; ///< whether this entry VM is the one that looks the key up
    std::function<const decision::ClaimLedger &()> ledger;
};

/// @brief Asks services for the outcome of claims whose process died, and records what they say.
///
/// A service that doesn't know the key proves nothing: a call still on its way may run later. Such a claim stays in
/// doubt, for operators to see.
class InDoubtClaimResolver
{
public:
    InDoubtClaimResolver(CallerContext &context, InDoubtClaimResolverHooks hooks);

    /// Looks up what is in doubt at this time and not being looked up already.
    void resolveInDoubtClaims(WallTime now);

private:
    void lookUp(const decision::ClaimKey &key, const std::string &nonce, const std::string &path);

    CallerContext &m_context;
    InDoubtClaimResolverHooks m_hooks;
    std::set<std::string> m_runningLookups; ///< nonces
};

} // namespace auburndrum::caller
