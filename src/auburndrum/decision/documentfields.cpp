#include "documentfields.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

constexpr double MaxWeight = 1000;
constexpr double MaxShare = 1000;
constexpr std::uint32_t MaxTimeMs = 3600000;
constexpr std::uint32_t LowestPriority = 9;
constexpr std::size_t MaxApiKeys = 16;
constexpr std::size_t MaxAdapters = 64;
constexpr std::size_t MaxGrants = 10000;

DocumentFields<RoutingCostWeights> weightFields()
{
    return {
        numberField("first_token", &RoutingCostWeights::firstToken, 0, true, MaxWeight),
        numberField("recompute", &RoutingCostWeights::recompute, 0, true, MaxWeight),
        numberField("link", &RoutingCostWeights::link, 0, true, MaxWeight),
    };
}

DocumentFields<OrganisationGrant> grantFields()
{
    return {
        required(textField("name", &OrganisationGrant::organisation, nameRule())),
        numberField("share", &OrganisationGrant::share, 0, false, MaxShare),
        integerField("max_concurrent", &OrganisationGrant::maxConcurrent, 0, 100000),
        integerField("priority", &OrganisationGrant::priority, 0, LowestPriority),
    };
}

/// The field for the kind, which is written as "engine" or "plain".
DocumentField<ServiceDocument> serviceKindField()
{
    DocumentField<ServiceDocument> field;
    field.name = "kind";
    field.schema = Json{{"enum", {"engine", "plain"}}};
    field.read = [](const Json &value, const std::string &path, ServiceDocument &document, DocumentErrors &errors) {
        if (value != "engine" && value != "plain") {
            addError(errors, path, value, "\"engine\" or \"plain\"");
            return;
        }
        document.kind = value == "engine" ? ServiceKind::Engine : ServiceKind::Plain;
    };
    field.write = [](const ServiceDocument &document) {
        return Json(document.kind == ServiceKind::Engine ? "engine" : "plain");
    };
    return field;
}

void checkGrants(const ServiceDocument &document, DocumentErrors &errors)
{
    std::set<std::string> seen;
    for (std::size_t n = 0; n < document.organisations.size(); ++n) {
        const std::string &organisation = document.organisations[n].organisation;
        if (organisation.empty() || seen.insert(organisation).second) {
            continue;
        }
        errors.push_back({fmt::format("/organisations/{}/name", n), fmt::format("\"{}\" is listed twice", organisation)});
    }
}

void checkKind(const ServiceDocument &document, DocumentErrors &errors)
{
    if (document.kind == ServiceKind::Engine && document.weightVersion.empty()) {
        errors.push_back({"/weight_version", "required for kind \"engine\""});
    }
    if (document.kind == ServiceKind::Engine && !document.lookupPath.empty()) {
        errors.push_back({"/lookup_path", "allowed only for kind \"plain\""});
    }
    if (document.kind == ServiceKind::Plain && !document.weightVersion.empty()) {
        errors.push_back({"/weight_version", "allowed only for kind \"engine\""});
    }
    if (document.kind == ServiceKind::Plain && !document.adapters.empty()) {
        errors.push_back({"/adapters", "allowed only for kind \"engine\""});
    }
}

void checkTimes(const ServiceDocument &document, DocumentErrors &errors)
{
    if (document.firstTokenDeadline > document.requestTimeout) {
        errors.push_back({"/first_token_deadline_ms", fmt::format("allowed: at most request_timeout_ms, {}", document.requestTimeout.count())});
    }
    if (document.tokenGapLimit > document.requestTimeout) {
        errors.push_back({"/token_gap_limit_ms", fmt::format("allowed: at most request_timeout_ms, {}", document.requestTimeout.count())});
    }
}

} // namespace

const DocumentFields<ServiceDocument> &serviceFields()
{
    static const DocumentFields<ServiceDocument> fields{
        required(textField("name", &ServiceDocument::name, nameRule())),
        required(textField("owner_team", &ServiceDocument::ownerTeam, nameRule())),
        required(serviceKindField()),
        textField("model", &ServiceDocument::model, orEmpty(modelRule())),
        textField("weight_version", &ServiceDocument::weightVersion, orEmpty(modelRule())),
        textListField("adapters", &ServiceDocument::adapters, modelRule(), MaxAdapters),
        objectListField("organisations", &ServiceDocument::organisations, grantFields(), MaxGrants),
        objectField("weights", &ServiceDocument::routingCostWeights, weightFields()),
        integerField("first_token_deadline_ms", &ServiceDocument::firstTokenDeadline, 1, MaxTimeMs),
        integerField("request_timeout_ms", &ServiceDocument::requestTimeout, 1, MaxTimeMs),
        integerField("token_gap_limit_ms", &ServiceDocument::tokenGapLimit, 1, MaxTimeMs),
        integerField("piece_tokens", &ServiceDocument::pieceTokens, 16, 1000000),
        integerField("queue_limit", &ServiceDocument::queueLimit, 0, 100000),
        boolField("repeatable", &ServiceDocument::repeatable),
        boolField("key_required", &ServiceDocument::idempotencyKeyRequired),
        textField("lookup_path", &ServiceDocument::lookupPath, orEmpty(pathRule())),
        boolField("checks_fencing", &ServiceDocument::checksFencing),
    };
    return fields;
}

const DocumentFields<OrganisationDocument> &organisationFields()
{
    static const DocumentFields<OrganisationDocument> fields{
        required(textField("name", &OrganisationDocument::name, nameRule())),
        required(textListField("key_hashes", &OrganisationDocument::apiKeyHashes, keyHashRule(), MaxApiKeys)),
    };
    return fields;
}

const DocumentFields<TeamDocument> &teamFields()
{
    static const DocumentFields<TeamDocument> fields{
        required(textField("name", &TeamDocument::name, nameRule())),
        boolField("platform_administrator", &TeamDocument::platformAdministrator),
        required(textListField("key_hashes", &TeamDocument::apiKeyHashes, keyHashRule(), MaxApiKeys)),
    };
    return fields;
}

void checkFieldCombinations(const ServiceDocument &document, DocumentErrors &errors)
{
    checkGrants(document, errors);
    const bool isKindKnown = std::none_of(errors.begin(), errors.end(), [](const DocumentError &it) {
        return it.path == "/kind";
    });
    if (isKindKnown) {
        checkKind(document, errors);
    }
    checkTimes(document, errors);
}

} // namespace auburndrum::decision
