#include "auburndrum/decision/documentparser.h"
#include "auburndrum/operator/adminapi.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace auburndrum::operators {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::uint32_t LowestStatus = 200;
constexpr std::uint32_t HighestStatus = 599;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

AdminResponse responseFor(AdminOutcome outcome, std::string_view missing)
{
    switch (outcome) {
    case AdminOutcome::Done:
        return {200, dump({{"state", "done"}})};
    case AdminOutcome::NotFound:
        return adminError(404, "not_found", missing);
    case AdminOutcome::Unavailable:
        return adminError(503, "unavailable", "The request was not carried out. Try again.");
    case AdminOutcome::Unknown:
        break;
    }
    return {202, dump({{"state", "unknown"}})};
}

std::optional<std::uint64_t> numberFromQuery(const AdminRequest &request, std::string_view name, std::uint64_t otherwise)
{
    const auto it = request.query.find(name);
    if (it == request.query.end()) {
        return otherwise;
    }
    std::uint64_t value = 0;
    const std::string &text = it->second;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || value > INT64_MAX) {
        return std::nullopt;
    }
    return value;
}

/// Returns a string field; empty when it is missing or not a string.
std::string textOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Parses an operator's decision on a claim. Returns an error response that names the invalid field, or nothing on success.
std::optional<AdminResponse> parseResolution(const std::string &body, ClaimResolution &resolution)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return adminError(400, "invalid_body", "The body is not a JSON object.");
    }
    resolution.key = {textOf(json, "service"), textOf(json, "organisation"), textOf(json, "key")};
    for (const auto &[name, value] :
         {std::pair{"service", &resolution.key.service}, {"organisation", &resolution.key.organisation}, {"key", &resolution.key.key}}) {
        if (value->empty()) {
            return adminError(400, "invalid_body", "Missing or not a string.", name);
        }
    }
    const auto ran = json.find("ran");
    if (ran == json.end() || !ran->is_boolean()) {
        return adminError(400, "invalid_body", "Allowed: true or false.", "ran");
    }
    resolution.ran = ran->get<bool>();
    const auto status = json.find("status");
    if (status != json.end() && status->is_number_unsigned() && *status >= LowestStatus && *status <= HighestStatus) {
        resolution.status = status->get<std::uint32_t>();
    }
    if (resolution.ran && resolution.status == 0) {
        return adminError(400, "invalid_body", "Allowed: 200 to 599, the status that later requests with the key get.", "status");
    }
    resolution.contentType = textOf(json, "content_type");
    resolution.body = textOf(json, "body");
    return std::nullopt;
}

} // namespace

bool AdminApi::ownsService(const std::string &service, const Operator &who) const
{
    if (who.isAdministrator) {
        return true;
    }
    const auto body = m_hooks.config().body(decision::documentKey(decision::DocumentKind::Service, service));
    if (!body) {
        return false;
    }
    const auto document = decision::parseServiceDocument(*body);
    return document.has_value() && document.value().ownerTeam == who.team;
}

AdminResponse AdminApi::listInDoubtClaims() const
{
    const std::vector<InDoubtClaim> claims = m_hooks.inDoubtClaims();
    Json list = Json::array();
    for (const InDoubtClaim &it : claims) {
        if (list.size() >= m_options.maxListedClaims) {
            break;
        }
        list.push_back({{"service", it.key.service},
                        {"organisation", it.key.organisation},
                        {"key", it.key.key},
                        {"nonce", it.nonce},
                        {"time_ms", it.claimedAt.time_since_epoch().count()}});
    }
    return {200, dump({{"total", claims.size()}, {"claims", std::move(list)}})};
}

void AdminApi::resolveClaim(const AdminRequest &request, const Operator &who, const AdminReply &reply)
{
    ClaimResolution resolution;
    if (const auto refusal = parseResolution(request.body, resolution)) {
        reply(*refusal);
        return;
    }
    if (!ownsService(resolution.key.service, who)) {
        reply(adminError(403, "not_allowed", "Only the owning team or a platform administrator resolves claims of this service.", "Authorization"));
        return;
    }
    m_hooks.resolve(resolution, who.author, [this, resolution, reply, author = who.author](AdminOutcome outcome) {
        if (outcome == AdminOutcome::Done) {
            m_timeline.record(EventKind::ClaimResolved, {}, resolution.key.service + (resolution.ran ? " ran, by " : " not run, by ") + author);
            m_log.info("{} resolves a claim of {}: {}", author, resolution.key.service, resolution.ran ? "ran" : "not run");
        }
        reply(responseFor(outcome, "No claim in doubt has this key."));
    });
}

void AdminApi::drain(const std::string &vm, const Operator &who, const AdminReply &reply)
{
    if (!who.isAdministrator) {
        reply(adminError(403, "not_allowed", "Only a platform administrator drains a VM.", "Authorization"));
        return;
    }
    m_log.info("{} drains {}", who.author, vm);
    m_hooks.drain(vm, [reply](AdminOutcome outcome) {
        reply(responseFor(outcome, "No VM of this name is known."));
    });
}

AdminResponse AdminApi::changeLogLevel(const AdminRequest &request, const Operator &who)
{
    if (request.method == "PUT") {
        if (!who.isAdministrator) {
            return adminError(403, "not_allowed", "Only a platform administrator changes the log level.", "Authorization");
        }
        const Json json = Json::parse(request.body, nullptr, false);
        const auto level = json.is_object() ? parseLogLevel(textOf(json, "level")) : std::nullopt;
        if (!level) {
            return adminError(400, "invalid_body", "Allowed: error, warning, info, debug.", "level");
        }
        setLogLevel(*level);
        m_timeline.record(EventKind::LogLevelChanged, {}, std::string(toText(*level)) + " by " + who.author);
        m_log.info("{} sets the log level {}", who.author, toText(*level));
    }
    return {200, dump({{"level", toText(logLevel())}})};
}

AdminResponse AdminApi::showTimeline(const AdminRequest &request) const
{
    TimelineFilter filter;
    const auto since = numberFromQuery(request, "since_ms", 0);
    const auto limit = numberFromQuery(request, "limit", filter.limit);
    if (!since) {
        return adminError(400, "invalid_query", "Allowed: milliseconds since 1970, a whole number.", "since_ms");
    }
    if (!limit) {
        return adminError(400, "invalid_query", "Allowed: a whole number.", "limit");
    }
    const auto requestId = request.query.find("request");
    filter.requestId = requestId == request.query.end() ? std::string() : requestId->second;
    filter.since = WallTime(std::chrono::milliseconds(*since));
    filter.limit = *limit;
    return {200, toJson(TimelineReport{m_options.process, m_options.zone, m_timeline.dropped(), m_timeline.events(filter)})};
}

} // namespace auburndrum::operators
