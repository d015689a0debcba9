#include "auburndrum/operator/adminapi.h"

#include "auburndrum/base/apikey.h"
#include "auburndrum/decision/documentparser.h"
#include "auburndrum/net/exchange.h"

#include <QUrlQuery>

namespace auburndrum::operators {

namespace {

constexpr std::string_view PathPrefix = "/admin/v1/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr const char *AdministratorAuthor = "administrator";

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    path.remove_prefix(PathPrefix.size());
    while (!path.empty()) {
        const std::size_t slash = std::min(path.find('/'), path.size());
        parts.emplace_back(path.substr(0, slash));
        path.remove_prefix(std::min(slash + 1, path.size()));
    }
    return parts;
}

AdminRequest requestOf(const net::Exchange &exchange)
{
    AdminRequest request;
    request.method = exchange.method().toStdString();
    request.path = exchange.path().toStdString();
    for (const char *it : {"base", "request", "since_ms", "limit"}) {
        const QByteArray value = exchange.query(it);
        if (!value.isEmpty()) {
            request.query[it] = value.toStdString();
        }
    }
    request.authorization = exchange.header("Authorization").toStdString();
    request.operatorName = exchange.header("X-Operator").toStdString();
    request.body = exchange.body().toStdString();
    return request;
}

AdminResponse wrongMethod(std::string_view allowed)
{
    return adminError(405, "method_not_allowed", std::string("Allowed here: ") + std::string(allowed) + ".");
}

AdminResponse unknownPath(const std::string &path)
{
    return adminError(404, "unknown_path", "No such path in the administration API.", path);
}

} // namespace

AdminApi::AdminApi(AdminOptions options, AdminHooks hooks, Timeline &timeline)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_timeline(timeline)
    , m_log("operator")
{
}

bool AdminApi::handle(const std::shared_ptr<net::Exchange> &exchange)
{
    if (!exchange->path().startsWith(QByteArray(PathPrefix.data(), PathPrefix.size()))) {
        return false;
    }
    handle(requestOf(*exchange), [exchange](const AdminResponse &response) {
        exchange->respondJson(response.status, QByteArray::fromStdString(response.body));
    });
    return true;
}

void AdminApi::handle(const AdminRequest &request, const AdminReply &reply)
{
    if (!std::string_view(request.path).starts_with(PathPrefix)) {
        reply(unknownPath(request.path));
        return;
    }
    const auto who = authenticate(request);
    if (!who) {
        reply(adminError(401, "invalid_api_key", "The operator key is missing or unknown.", "Authorization"));
        return;
    }
    route(request, splitPath(request.path), *who, reply);
}

std::optional<AdminApi::Operator> AdminApi::authenticate(const AdminRequest &request) const
{
    const std::string_view authorization = request.authorization;
    if (!authorization.starts_with(BearerPrefix)) {
        return std::nullopt;
    }
    Operator who;
    if (matchesApiKey(authorization.substr(BearerPrefix.size()), m_options.administratorKeyHash)) {
        who.isAdministrator = true;
        who.author = AdministratorAuthor;
    } else if (const decision::TeamDocument *team = m_hooks.team(authorization)) {
        who.team = team->name;
        who.isAdministrator = team->platformAdministrator;
        who.author = team->name;
    } else {
        return std::nullopt;
    }
    if (decision::isDocumentName(request.operatorName)) {
        who.author += "/" + request.operatorName;
    }
    return who;
}

void AdminApi::route(const AdminRequest &request, const std::vector<std::string> &parts, const Operator &who, const AdminReply &reply)
{
    const std::string head = parts.empty() ? "" : parts[0];
    const bool isGet = request.method == "GET";
    if (head == "documents") {
        routeDocuments(request, parts, who, reply);
    } else if (head == "publishes" && parts.size() == 2) {
        reply(isGet ? showPublish(parts[1]) : wrongMethod("GET"));
    } else if (head == "status" && parts.size() == 1) {
        reply(isGet ? AdminResponse{200, toJson(m_hooks.status())} : wrongMethod("GET"));
    } else if (head == "timeline" && parts.size() == 1) {
        reply(isGet ? showTimeline(request) : wrongMethod("GET"));
    } else if (head == "claims" && parts.size() == 1) {
        reply(isGet ? listInDoubtClaims() : wrongMethod("GET"));
    } else if (head == "claims" && parts.size() == 2 && parts[1] == "resolve") {
        request.method == "POST" ? resolveClaim(request, who, reply) : reply(wrongMethod("POST"));
    } else if (head == "vms" && parts.size() == 3 && parts[2] == "drain") {
        request.method == "POST" ? drain(parts[1], who, reply) : reply(wrongMethod("POST"));
    } else if (head == "log-level" && parts.size() == 1) {
        reply(isGet || request.method == "PUT" ? changeLogLevel(request, who) : wrongMethod("GET, PUT"));
    } else {
        reply(unknownPath(request.path));
    }
}

void AdminApi::routeDocuments(const AdminRequest &request, const std::vector<std::string> &parts, const Operator &who, const AdminReply &reply)
{
    const bool isGet = request.method == "GET";
    if (parts.size() == 1) {
        reply(isGet ? listDocuments() : wrongMethod("GET"));
        return;
    }
    if (parts.size() < 3 || !decision::parseDocumentKind(parts[1]) || !decision::isDocumentName(parts[2])) {
        reply(unknownPath(request.path));
        return;
    }
    const Target target{parts[1], parts[2], parts[1] + "/" + parts[2]};
    if (parts.size() == 4 && parts[3] == "history") {
        reply(isGet ? showHistory(target, who) : wrongMethod("GET"));
    } else if (parts.size() > 3) {
        reply(unknownPath(request.path));
    } else if (isGet) {
        reply(showDocument(target, who));
    } else if (request.method == "PUT" || request.method == "DELETE") {
        publish(request, target, who, reply);
    } else {
        reply(wrongMethod("GET, PUT, DELETE"));
    }
}

} // namespace auburndrum::operators
