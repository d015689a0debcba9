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

AdminResponse answerOf(AdminOutcome outcome, std::string_view missing)
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

std::optional<std::uint64_t> wholeQuery(const AdminRequest &request, std::string_view name, std::uint64_t otherwise)
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
std::optional<AdminResponse> readFinding(const std::string &body, ClaimFinding &finding)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return adminError(400, "invalid_body", "The body is not a JSON object.");
    }
    finding.key = {textOf(json, "service"), textOf(json, "organisation"), textOf(json, "key")};
    for (const auto &[name, value] : {std::pair{"service", &finding.key.service}, {"organisation", &finding.key.organisation}, {"key", &finding.key.key}}) {
        if (value->empty()) {
            return adminError(400, "invalid_body", "Missing or not a string.", name);
        }
    }
    const auto ran = json.find("ran");
    if (ran == json.end() || !ran->is_boolean()) {
        return adminError(400, "invalid_body", "Allowed: true or false.", "ran");
    }
    finding.ran = ran->get<bool>();
    const auto status = json.find("status");
    if (status != json.end() && status->is_number_unsigned() && *status >= LowestStatus && *status <= HighestStatus) {
        finding.status = status->get<std::uint32_t>();
    }
    if (finding.ran && finding.status == 0) {
        return adminError(400, "invalid_body", "Allowed: 200 to 599, the status that later requests with the key get.", "status");
    }
    finding.contentType = textOf(json, "content_type");
    finding.body = textOf(json, "body");
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

AdminResponse AdminApi::listDoubts() const
{
    const std::vector<ClaimDoubt> doubts = m_hooks.doubts();
    Json list = Json::array();
    for (const ClaimDoubt &it : doubts) {
        if (list.size() >= m_options.maxListed) {
            break;
        }
        list.push_back({{"service", it.key.service},
                        {"organisation", it.key.organisation},
                        {"key", it.key.key},
                        {"nonce", it.nonce},
                        {"time_ms", it.at.time_since_epoch().count()}});
    }
    return {200, dump({{"total", doubts.size()}, {"claims", std::move(list)}})};
}

void AdminApi::resolveClaim(const AdminRequest &request, const Operator &who, const AdminReply &reply)
{
    ClaimFinding finding;
    if (const auto refusal = readFinding(request.body, finding)) {
        reply(*refusal);
        return;
    }
    if (!ownsService(finding.key.service, who)) {
        reply(adminError(403, "not_allowed", "Only the owning team or a platform administrator resolves claims of this service.", "Authorization"));
        return;
    }
    m_hooks.resolve(finding, who.author, [this, finding, reply, author = who.author](AdminOutcome outcome) {
        if (outcome == AdminOutcome::Done) {
            m_timeline.record(EventKind::ClaimResolved, {}, finding.key.service + (finding.ran ? " ran, by " : " not run, by ") + author);
            m_log.info("{} resolves a claim of {}: {}", author, finding.key.service, finding.ran ? "ran" : "not run");
        }
        reply(answerOf(outcome, "No claim in doubt has this key."));
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
        reply(answerOf(outcome, "No VM of this name is known."));
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
    const auto since = wholeQuery(request, "since_ms", 0);
    const auto limit = wholeQuery(request, "limit", filter.limit);
    if (!since) {
        return adminError(400, "invalid_query", "Allowed: milliseconds since 1970, a whole number.", "since_ms");
    }
    if (!limit) {
        return adminError(400, "invalid_query", "Allowed: a whole number.", "limit");
    }
    const auto wanted = request.query.find("request");
    filter.requestId = wanted == request.query.end() ? std::string() : wanted->second;
    filter.since = WallTime(std::chrono::milliseconds(*since));
    filter.limit = *limit;
    return {200, toJson(TimelineReport{m_options.process, m_options.zone, m_timeline.dropped(), m_timeline.events(filter)})};
}

} // namespace auburndrum::operators
