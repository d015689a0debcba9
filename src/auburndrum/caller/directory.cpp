#include "auburndrum/caller/directory.h"

#include "auburndrum/base/apikey.h"

namespace auburndrum::caller {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

struct KeyParts
{
    std::string_view owner;
    std::string_view key; ///< complete key, including the owner
};

std::optional<KeyParts> keyOf(std::string_view authorization)
{
    if (!authorization.starts_with(BearerPrefix)) {
        return std::nullopt;
    }
    const std::string_view key = authorization.substr(BearerPrefix.size());
    const auto dot = key.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    return KeyParts{key.substr(0, dot), key};
}

} // namespace

void Directory::add(decision::ServiceDocument document)
{
    if (document.kind == decision::ServiceKind::Engine) {
        m_models[document.model.empty() ? document.name : document.model] = document.name;
    }
    const std::string name = document.name;
    m_services[name] = std::move(document);
}

void Directory::add(decision::OrganisationDocument document)
{
    const std::string name = document.name;
    m_organisations[name] = std::move(document);
}

void Directory::add(decision::TeamDocument document)
{
    const std::string name = document.name;
    m_teams[name] = std::move(document);
}

std::optional<std::string> Directory::authenticate(std::string_view authorization) const
{
    const auto parts = keyOf(authorization);
    if (!parts) {
        return std::nullopt;
    }
    const auto it = m_organisations.find(parts->owner);
    if (it == m_organisations.end() || !matchesAnyApiKey(parts->key, it->second.apiKeyHashes)) {
        return std::nullopt;
    }
    return it->first;
}

const decision::TeamDocument *Directory::authenticateTeam(std::string_view authorization) const
{
    const auto parts = keyOf(authorization);
    if (!parts) {
        return nullptr;
    }
    const auto it = m_teams.find(parts->owner);
    if (it == m_teams.end() || !matchesAnyApiKey(parts->key, it->second.apiKeyHashes)) {
        return nullptr;
    }
    return &it->second;
}

const decision::ServiceDocument *Directory::service(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

const decision::ServiceDocument *Directory::model(std::string_view name) const
{
    const auto it = m_models.find(name);
    return it == m_models.end() ? nullptr : service(it->second);
}

const decision::OrganisationGrant *grantOf(const decision::ServiceDocument &service, std::string_view organisation)
{
    for (const decision::OrganisationGrant &it : service.organisations) {
        if (it.organisation == organisation) {
            return &it;
        }
    }
    return nullptr;
}

} // namespace auburndrum::caller
