#include "auburndrum/caller/indoubtclaimresolver.h"

#include "outcomelookup.h"

namespace auburndrum::caller {

InDoubtClaimResolver::InDoubtClaimResolver(CallerContext &context, InDoubtClaimResolverHooks hooks)
    : m_context(context)
    , m_hooks(std::move(hooks))
{
}

void InDoubtClaimResolver::resolveInDoubtClaims(WallTime now)
{
    const auto directory = m_context.directory();
    for (const decision::ClaimKey &key : m_hooks.ledger().inDoubtKeys(now)) {
        const decision::ServiceDocument *service = directory->service(key.service);
        if (service == nullptr || service->lookupPath.empty() || !m_hooks.isResponsible(key)) {
            continue;
        }
        const std::string nonce = m_hooks.ledger().find(key)->nonce;
        if (m_runningLookups.insert(nonce).second) {
            lookUp(key, nonce, service->lookupPath);
        }
    }
}

void InDoubtClaimResolver::lookUp(const decision::ClaimKey &key, const std::string &nonce, const std::string &path)
{
    lookUpOutcome(m_context, key, nonce, path, [this, nonce](const std::optional<decision::Outcome> &outcome) {
        m_runningLookups.erase(nonce);
        if (!outcome) {
            return;
        }
        m_context.timeline.record(EventKind::ClaimResolved, nonce, "looked up");
        m_context.claims.append(*outcome);
    });
}

} // namespace auburndrum::caller
