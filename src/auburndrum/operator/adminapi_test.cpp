#include "auburndrum/operator/adminapi.h"

#include "auburndrum/base/apikey.h"
#include "auburndrum/decision/documentparser.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

using namespace auburndrum;
using namespace auburndrum::operators;
using PublishState = decision::PublishAnswer::Kind;

namespace {

const std::string AdministratorKey = "administrator-key";

std::string serviceText(const std::string &owner)
{
    return R"({"document":"service","name":"ordering","kind":"plain","owner_team":")" + owner + "\"}";
}

/// An AdminApi over a fold that applies publishes immediately.
class AdminApiFixture
{
public:
    AdminApiFixture()
        : timeline(100, clock)
        , api({.process = "a1", .zone = "a", .administratorKeyHash = hashApiKey(AdministratorKey)}, hooks(), timeline)
    {
        menus.name = "menus";
        vouchers.name = "vouchers";
    }

    AdminResponse request(const std::string &key,
                          const std::string &method,
                          const std::string &path,
                          const std::string &body = {},
                          std::map<std::string, std::string, std::less<>> query = {})
    {
        AdminResponse answer{0, {}};
        api.handle({method, "/admin/v1/" + path, std::move(query), "Bearer " + key, "anna", body}, [&answer](const AdminResponse &response) {
            answer = response;
        });
        return answer;
    }

    AdminResponse put(const std::string &key, const std::string &body, const std::string &base, const std::string &requestId = {})
    {
        return request(key, "PUT", "documents/service/ordering", body, {{"base", base}, {"request", requestId}});
    }

    AdminHooks hooks();

    decision::ConfigFold config;
    decision::Offset next = 1;
    std::vector<decision::PublishRecord> published;
    std::optional<decision::PublishAnswer> result; ///< result of publishes in place of the fold's result
    decision::TeamDocument menus;
    decision::TeamDocument vouchers;
    std::vector<ClaimResolution> resolutions;
    std::vector<std::string> drained;
    HybridClock clock;
    Timeline timeline;
    AdminApi api;
};

AdminHooks AdminApiFixture::hooks()
{
    AdminHooks hooks;
    hooks.config = [this]() -> const decision::ConfigFold & {
        return config;
    };
    hooks.team = [this](std::string_view authorization) -> const decision::TeamDocument * {
        if (authorization == "Bearer menus.key") {
            return &menus;
        }
        return authorization == "Bearer vouchers.key" ? &vouchers : nullptr;
    };
    hooks.publish = [this](const decision::PublishRecord &record, const std::function<void(const decision::PublishAnswer &)> &done) {
        published.push_back(record);
        const decision::Offset offset = next++;
        const bool isAccepted = config.apply(offset, WallTime{}, record);
        done(result.value_or(decision::PublishAnswer{isAccepted ? PublishState::Accepted : PublishState::Conflict, config.version(record.document)}));
    };
    hooks.history = [](const std::string &) {
        return std::vector<PublishedVersion>{{4, WallTime{}, "menus", "{}"}};
    };
    hooks.status = [] {
        StatusReport report;
        report.name = "a1";
        return report;
    };
    hooks.drain = [this](const std::string &vm, const AdminDone &done) {
        drained.push_back(vm);
        done(vm == "b1" ? AdminOutcome::Done : AdminOutcome::NotFound);
    };
    hooks.inDoubtClaims = [] {
        return std::vector<InDoubtClaim>{{{"ordering", "kattila", "k1"}, "n1", WallTime{}}};
    };
    hooks.resolve = [this](const ClaimResolution &resolution, const std::string &, const AdminDone &done) {
        resolutions.push_back(resolution);
        done(AdminOutcome::Done);
    };
    return hooks;
}

nlohmann::json parsed(const AdminResponse &response)
{
    return nlohmann::json::parse(response.body);
}

} // namespace

TEST_CASE("a missing or unknown key is refused before any other check")
{
    AdminApiFixture fixture;
    CHECK(fixture.request("wrong", "GET", "status").status == 401);
    CHECK(fixture.request("", "GET", "no/such/path").status == 401);
    CHECK(fixture.put("wrong", serviceText("menus"), "0").status == 401);
    CHECK(fixture.published.empty());
}

TEST_CASE("an accepted publish returns its version and records its author")
{
    AdminApiFixture fixture;
    const AdminResponse response = fixture.put("menus.key", serviceText("menus"), "0", "r1");
    CHECK(response.status == 200);
    CHECK(parsed(response)["state"] == "accepted");
    CHECK(parsed(response)["version"] == 1);
    REQUIRE(fixture.published.size() == 1);
    CHECK(fixture.published[0].author == "menus/anna");
    CHECK(fixture.published[0].requestId == "r1");
    const auto events = fixture.timeline.events({.requestId = "r1"});
    REQUIRE(events.size() == 1);
    CHECK(events[0].kind == EventKind::DocumentPublished);
}

TEST_CASE("a publish based on an old version is a conflict and returns the current version")
{
    AdminApiFixture fixture;
    fixture.put("menus.key", serviceText("menus"), "0");
    const AdminResponse response = fixture.put("menus.key", serviceText("menus"), "0");
    CHECK(response.status == 409);
    CHECK(parsed(response)["version"] == 1);
    CHECK(fixture.published.size() == 1);
}

TEST_CASE("a publish sent again with its request id is not published twice")
{
    AdminApiFixture fixture;
    fixture.put("menus.key", serviceText("menus"), "0", "r1");
    const AdminResponse again = fixture.put("menus.key", serviceText("menus"), "0", "r1");
    CHECK(again.status == 200);
    CHECK(parsed(again)["version"] == 1);
    CHECK(fixture.published.size() == 1);
}

TEST_CASE("an unknown outcome is reported as unknown, with the path for a later query")
{
    AdminApiFixture fixture;
    fixture.result = decision::PublishAnswer{PublishState::Unknown, 0};
    const AdminResponse response = fixture.put("menus.key", serviceText("menus"), "0", "r1");
    CHECK(response.status == 202);
    CHECK(parsed(response)["ask"] == "/admin/v1/publishes/r1");
    CHECK(fixture.request("menus.key", "GET", "publishes/r1").status == 200);
    CHECK(fixture.request("menus.key", "GET", "publishes/other").status == 202);
    fixture.result = decision::PublishAnswer{PublishState::NotAppended, 0};
    CHECK(fixture.put("menus.key", serviceText("menus"), "1").status == 503);
}

TEST_CASE("only the owning team or an administrator changes a service")
{
    AdminApiFixture fixture;
    fixture.put("menus.key", serviceText("menus"), "0");
    CHECK(fixture.put("vouchers.key", serviceText("vouchers"), "1").status == 403);
    CHECK(fixture.put("vouchers.key", serviceText("menus"), "1").status == 403);
    CHECK(fixture.request("vouchers.key", "DELETE", "documents/service/ordering", "", {{"base", "1"}}).status == 403);
    CHECK(fixture.put("menus.key", serviceText("vouchers"), "1").status == 403);
    CHECK(fixture.published.size() == 1);
    CHECK(fixture.put(AdministratorKey, serviceText("vouchers"), "1").status == 200);
    CHECK(fixture.put("menus.key", serviceText("menus"), "2").status == 403);
}

TEST_CASE("only an administrator reads and changes teams and organisations")
{
    AdminApiFixture fixture;
    const std::string team = R"({"document":"team","name":"menus","platform_administrator":true,"key_hashes":[]})";
    CHECK(fixture.request("menus.key", "PUT", "documents/team/menus", team, {{"base", "0"}}).status == 403);
    CHECK(fixture.request(AdministratorKey, "PUT", "documents/team/menus", team, {{"base", "0"}}).status == 200);
    CHECK(fixture.request("menus.key", "GET", "documents/team/menus").status == 403);
    CHECK(fixture.request("menus.key", "GET", "documents/team/menus/history").status == 403);
    CHECK(fixture.request(AdministratorKey, "GET", "documents/team/menus").status == 200);
}

TEST_CASE("an invalid document is refused with all its errors and is not published")
{
    AdminApiFixture fixture;
    const AdminResponse response = fixture.put("menus.key", R"({"document":"service","name":"ordering","kind":"odd"})", "0");
    CHECK(response.status == 400);
    CHECK(parsed(response)["faults"].size() == 2);
    CHECK(fixture.put("menus.key", "not json", "0").status == 400);
    CHECK(fixture.put("menus.key", serviceText("menus"), "").status == 400);
    CHECK(fixture.put("menus.key", serviceText("menus"), "1x").status == 400);
    CHECK(fixture.request("menus.key", "PUT", "documents/service/other", serviceText("menus"), {{"base", "0"}}).status == 400);
    CHECK(fixture.published.empty());
}

TEST_CASE("a withdrawn document is neither listed nor shown")
{
    AdminApiFixture fixture;
    fixture.put("menus.key", serviceText("menus"), "0");
    CHECK(parsed(fixture.request("menus.key", "GET", "documents"))["documents"][0]["owner_team"] == "menus");
    CHECK(fixture.request("menus.key", "DELETE", "documents/service/ordering", "", {{"base", "1"}}).status == 200);
    CHECK(fixture.request("menus.key", "GET", "documents/service/ordering").status == 404);
    CHECK(parsed(fixture.request("menus.key", "GET", "documents"))["documents"].empty());
}

TEST_CASE("claims in doubt are listed, and resolved by the owner only")
{
    AdminApiFixture fixture;
    fixture.put("menus.key", serviceText("menus"), "0");
    CHECK(parsed(fixture.request("menus.key", "GET", "claims"))["total"] == 1);
    const std::string ran = R"({"service":"ordering","organisation":"kattila","key":"k1","ran":true,"status":201})";
    CHECK(fixture.request("vouchers.key", "POST", "claims/resolve", ran).status == 403);
    CHECK(fixture.request("menus.key", "POST", "claims/resolve", R"({"service":"ordering","organisation":"kattila","key":"k1","ran":true})").status == 400);
    CHECK(fixture.request("menus.key", "POST", "claims/resolve", R"({"service":"ordering","ran":false})").status == 400);
    CHECK(fixture.resolutions.empty());
    CHECK(fixture.request("menus.key", "POST", "claims/resolve", ran).status == 200);
    REQUIRE(fixture.resolutions.size() == 1);
    CHECK(fixture.resolutions[0].status == 201);
}

TEST_CASE("only an administrator drains VMs and changes the log level")
{
    AdminApiFixture fixture;
    CHECK(fixture.request("menus.key", "POST", "vms/b1/drain").status == 403);
    CHECK(fixture.drained.empty());
    CHECK(fixture.request(AdministratorKey, "POST", "vms/b1/drain").status == 200);
    CHECK(fixture.request(AdministratorKey, "POST", "vms/b9/drain").status == 404);
    CHECK(fixture.request("menus.key", "PUT", "log-level", R"({"level":"debug"})").status == 403);
    CHECK(fixture.request(AdministratorKey, "PUT", "log-level", R"({"level":"loud"})").status == 400);
    CHECK(fixture.request(AdministratorKey, "PUT", "log-level", R"({"level":"warning"})").status == 200);
    CHECK(logLevel() == LogLevel::Warning);
    setLogLevel(LogLevel::Info);
}

TEST_CASE("the timeline is filtered by request id, and invalid filters are refused")
{
    AdminApiFixture fixture;
    fixture.timeline.record(EventKind::RequestReceived, "r1");
    fixture.timeline.record(EventKind::RequestReceived, "r2");
    const auto report = parseTimelineReport(fixture.request("menus.key", "GET", "timeline", "", {{"request", "r2"}}).body);
    REQUIRE(report.has_value());
    CHECK(report->process == "a1");
    CHECK(report->events.size() == 1);
    CHECK(fixture.request("menus.key", "GET", "timeline", "", {{"since_ms", "yesterday"}}).status == 400);
}

TEST_CASE("unknown paths give 404 and wrong methods 405")
{
    AdminApiFixture fixture;
    for (const char *it : {"", "nothing", "documents/service", "documents/odd/name", "documents/service/a.b", "documents/service/a/b/c", "claims/x"}) {
        CAPTURE(it);
        CHECK(fixture.request("menus.key", "GET", it).status == 404);
    }
    CHECK(fixture.request("menus.key", "POST", "status").status == 405);
    CHECK(fixture.request("menus.key", "PATCH", "documents/service/ordering").status == 405);
    CHECK(fixture.request("menus.key", "GET", "claims/resolve").status == 405);
}
