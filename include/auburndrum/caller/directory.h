#pragma once

#include "auburndrum/decision/servicedocument.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::caller {

/// @brief The configuration documents in force, parsed and indexed. Handlers share it as an immutable snapshot.
///
/// An API key has the form "ORGANISATION.SECRET": the organisation is known before hashing, so one hash checks the key.
class Directory
{
public:
    void add(decision::ServiceDocument document);
    void add(decision::OrganisationDocument document);
    void add(decision::TeamDocument document);

    /// Organisation of an "Authorization: Bearer KEY" value; nullopt when the key is malformed or unknown.
    std::optional<std::string> authenticate(std::string_view authorization) const;
    /// Team of an operator's "Authorization: Bearer KEY" value, with keys of the form "TEAM.SECRET"; nullptr when the key is malformed or unknown.
    const decision::TeamDocument *authenticateTeam(std::string_view authorization) const;

    const decision::ServiceDocument *service(std::string_view name) const;
    /// Service that serves the model; nullptr when there is none.
    const decision::ServiceDocument *model(std::string_view name) const;
    const std::map<std::string, decision::ServiceDocument, std::less<>> &services() const
    {
        return m_services;
    }

private:
    std::map<std::string, decision::ServiceDocument, std::less<>> m_services;
    std::map<std::string, std::string, std::less<>> m_models; ///< service name by model name
    std::map<std::string, decision::OrganisationDocument, std::less<>> m_organisations;
    std::map<std::string, decision::TeamDocument, std::less<>> m_teams;
};

/// Grant of an organisation for a service; nullptr when it has none.
const decision::OrganisationGrant *grantOf(const decision::ServiceDocument &service, std::string_view organisation);

} // namespace auburndrum::caller
