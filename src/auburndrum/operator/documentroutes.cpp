#include "auburndrum/base/randomid.h"
#include "auburndrum/decision/documentparser.h"
#include "auburndrum/operator/adminapi.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace auburndrum::operators {

namespace {

using Json = nlohmann::ordered_json;
using PublishState = decision::PublishAnswer::Kind;

constexpr std::size_t LongestRequestIdCharacters = 64;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string queryValue(const AdminRequest &request, std::string_view name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string() : it->second;
}

std::optional<decision::Offset> parseVersion(const std::string &text)
{
    decision::Offset version = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return version;
}

AdminResponse responseFor(const decision::PublishAnswer &result, const std::string &requestId)
{
    switch (result.kind) {
    case PublishState::Accepted:
        return {200, dump({{"state", "accepted"}, {"version", result.version}, {"request", requestId}})};
    case PublishState::Conflict:
        return {409, dump({{"state", "beaten"}, {"version", result.version}, {"request", requestId}})};
    case PublishState::NotAppended:
        return adminError(503, "not_published", "The platform's log did not accept the record; the document is unchanged. Try again.");
    case PublishState::Unknown:
        break;
    }
    return {202, dump({{"state", "unknown"}, {"request", requestId}, {"ask", "/admin/v1/publishes/" + requestId}})};
}

decision::PublishAnswer publishAnswerFor(const decision::PublishOutcome &outcome)
{
    switch (outcome.kind) {
    case decision::PublishOutcome::Kind::Accepted:
        return {PublishState::Accepted, outcome.version};
    case decision::PublishOutcome::Kind::Conflict:
        return {PublishState::Conflict, outcome.version};
    case decision::PublishOutcome::Kind::Unknown:
        break;
    }
    return {PublishState::Unknown, 0};
}

AdminResponse invalidDocumentResponse(const decision::DocumentErrors &errors)
{
    Json list = Json::array();
    for (const decision::DocumentError &it : errors) {
        list.push_back({{"path", it.path}, {"reason", it.reason}});
    }
    AdminResponse response = adminError(400, "invalid_document", toText(errors.front()), errors.front().path);
    Json json = Json::parse(response.body);
    json["faults"] = std::move(list);
    response.body = dump(json);
    return response;
}

AdminResponse notAllowed(std::string_view message)
{
    return adminError(403, "not_allowed", message, "Authorization");
}

} // namespace

AdminResponse AdminApi::listDocuments() const
{
    Json list = Json::array();
    for (const auto &[key, state] : m_hooks.config().documents()) {
        if (state.body.empty()) {
            continue;
        }
        Json item{{"document", key}, {"version", state.version}};
        const auto service = decision::parseServiceDocument(state.body);
        if (service.has_value()) {
            item["owner_team"] = service.value().ownerTeam;
        }
        list.push_back(std::move(item));
    }
    return {200, dump({{"documents", std::move(list)}})};
}

bool AdminApi::mayRead(const Target &target, const Operator &who) const
{
    // Documents of other kinds hold key hashes.
    return who.isAdministrator || target.kind == "service";
}

AdminResponse AdminApi::showDocument(const Target &target, const Operator &who) const
{
    if (!mayRead(target, who)) {
        return notAllowed("Only a platform administrator reads documents that hold key hashes.");
    }
    const auto body = m_hooks.config().body(target.key);
    if (!body) {
        return adminError(404, "unknown_document", "No document of this name is in force.", target.key);
    }
    return {200, dump({{"document", target.key}, {"version", m_hooks.config().version(target.key)}, {"body", *body}})};
}

AdminResponse AdminApi::showHistory(const Target &target, const Operator &who) const
{
    if (!mayRead(target, who)) {
        return notAllowed("Only a platform administrator reads documents that hold key hashes.");
    }
    Json list = Json::array();
    for (const PublishedVersion &it : m_hooks.history(target.key)) {
        list.push_back({{"version", it.version}, {"time_ms", it.publishedAt.time_since_epoch().count()}, {"author", it.author}, {"body", it.body}});
    }
    return {200, dump({{"document", target.key}, {"versions", std::move(list)}})};
}

AdminResponse AdminApi::showPublish(const std::string &requestId) const
{
    return responseFor(publishAnswerFor(m_hooks.config().publishOutcome(requestId)), requestId);
}

std::optional<AdminResponse> AdminApi::checkOwner(const Target &target, const Operator &who) const
{
    if (who.isAdministrator) {
        return std::nullopt;
    }
    if (target.kind != "service") {
        return notAllowed("Only a platform administrator changes organisations and teams.");
    }
    const auto body = m_hooks.config().body(target.key);
    if (!body) {
        return std::nullopt;
    }
    const auto current = decision::parseServiceDocument(*body);
    if (current.has_value() && current.value().ownerTeam == who.team) {
        return std::nullopt;
    }
    return notAllowed("Only the owning team or a platform administrator changes this document.");
}

std::optional<AdminResponse> AdminApi::checkBody(const AdminRequest &request, const Target &target, const Operator &who) const
{
    const auto document = decision::parseDocument(request.body);
    if (!document.has_value()) {
        return invalidDocumentResponse(document.error());
    }
    if (toText(decision::kindOf(document.value())) != target.kind) {
        return invalidDocumentResponse({{"/document", "differs from the path, allowed: \"" + target.kind + "\""}});
    }
    if (decision::nameOf(document.value()) != target.name) {
        return invalidDocumentResponse({{"/name", "differs from the path, allowed: \"" + target.name + "\""}});
    }
    const auto *service = std::get_if<decision::ServiceDocument>(&document.value());
    if (service != nullptr && !who.isAdministrator && service->ownerTeam != who.team) {
        return notAllowed("Only a platform administrator may assign a document to another team.");
    }
    return std::nullopt;
}

void AdminApi::publish(const AdminRequest &request, const Target &target, const Operator &who, const AdminReply &reply)
{
    const bool isWithdrawal = request.method == "DELETE";
    auto refusal = checkOwner(target, who);
    if (!refusal && !isWithdrawal) {
        refusal = checkBody(request, target, who);
    }
    const auto base = parseVersion(queryValue(request, "base"));
    std::string requestId = queryValue(request, "request");
    if (!refusal && !base) {
        refusal = adminError(400, "invalid_base", "The version that this publish replaces is missing or not a whole number; 0 for a new document.", "base");
    }
    if (!refusal && requestId.size() > LongestRequestIdCharacters) {
        refusal = adminError(400, "invalid_request_id", "At most 64 characters.", "request");
    }
    if (refusal) {
        reply(*refusal);
        return;
    }
    if (requestId.empty()) {
        requestId = randomId();
    }
    const decision::ConfigFold &config = m_hooks.config();
    const decision::PublishOutcome earlier = config.publishOutcome(requestId);
    if (earlier.kind != decision::PublishOutcome::Kind::Unknown) {
        reply(responseFor(publishAnswerFor(earlier), requestId));
        return;
    }
    // Versions only grow, so a publish on an older base is a conflict already. With a newer base this process is behind the log, which decides.
    if (*base < config.version(target.key)) {
        reply(responseFor({PublishState::Conflict, config.version(target.key)}, requestId));
        return;
    }
    const decision::PublishRecord record{target.key, *base, isWithdrawal ? std::string() : request.body, requestId, who.author};
    m_hooks.publish(record, [this, record, reply](const decision::PublishAnswer &result) {
        const AdminResponse response = responseFor(result, record.requestId);
        const bool isAccepted = result.kind == PublishState::Accepted;
        m_timeline.record(isAccepted ? EventKind::DocumentPublished : EventKind::DocumentRejected, record.requestId, record.document + " by " + record.author);
        m_log.forRequest(record.requestId)
            .info("{} publishes {} with base version {}: status {}", record.author, record.document, record.baseVersion, response.status);
        reply(response);
    });
}

} // namespace auburndrum::operators
