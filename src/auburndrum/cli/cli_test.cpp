#include "auburndrum/net/httpserver.h"
#include "command.h"
#include "statustext.h"
#include "timelinemerge.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

using namespace auburndrum;
using namespace auburndrum::cli;

namespace {

/// HTTP server that returns the responses which a test set for each method and path, and records the calls.
class FakeServer
{
public:
    FakeServer()
        : server({},
                 [this](const std::shared_ptr<net::Exchange> &exchange) {
                     answer(*exchange);
                 })
        , address(toText(server.listenOn(*net::parseAddress("127.0.0.1:0"))))
    {
    }

    void answer(net::Exchange &exchange)
    {
        const std::string call = (exchange.method() + " " + exchange.path()).toStdString();
        calls.push_back(call + " " + exchange.query("base").toStdString());
        const auto it = answers.find(call);
        if (it == answers.end()) {
            exchange.respondJson(404, "{}");
            return;
        }
        exchange.respondJson(it->second.first, QByteArray::fromStdString(it->second.second));
    }

    std::map<std::string, std::pair<int, std::string>> answers;
    std::vector<std::string> calls;
    net::HttpServer server;
    std::string address;
};

struct Outcome
{
    ExitCode code = ExitCode::Done;
    std::string printed;
    std::string complained;
};

Outcome run(const std::vector<std::string> &line, const std::string &address, CommandOptions options = {})
{
    std::vector<Command> commands = documentCommands();
    for (const auto &group : {observeCommands(), orderCommands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    const Command *command = findCommand(commands, line);
    REQUIRE(command != nullptr);
    Outcome outcome;
    CommandContext context{AdminClient(address, "key", std::chrono::seconds(5)),
                           std::move(options),
                           {line.begin() + static_cast<std::ptrdiff_t>(command->words.size()), line.end()},
                           {},
                           {}};
    context.print = [&outcome](std::string_view text) {
        outcome.printed += text;
    };
    context.printError = [&outcome](std::string_view text) {
        outcome.complained += text;
    };
    outcome.code = command->run(context);
    return outcome;
}

const std::string OrderingFile = AUBURNDRUM_SOURCE_DIR "/examples/documents/ordering.json";
const std::string OrderingPath = "/admin/v1/documents/service/ordering";

TimelineEvent eventAt(std::int64_t ms, std::uint32_t counter, EventKind kind)
{
    return {{WallTime(std::chrono::milliseconds(ms)), counter}, kind, "r1", {}};
}

} // namespace

TEST_CASE("a publish replaces the version in force unless --base is given")
{
    FakeServer fake;
    fake.answers["GET " + OrderingPath] = {200, R"({"version":7,"body":"{}"})"};
    fake.answers["PUT " + OrderingPath] = {200, R"({"state":"accepted","version":9})"};
    const Outcome outcome = run({"service", "publish", OrderingFile}, fake.address);
    CHECK(outcome.code == ExitCode::Done);
    CHECK(outcome.printed == "published service/ordering version 9\n");
    CHECK(fake.calls.back() == "PUT " + OrderingPath + " 7");
    CommandOptions options;
    options.base = "3";
    run({"service", "publish", OrderingFile}, fake.address, options);
    CHECK(fake.calls.back() == "PUT " + OrderingPath + " 3");
}

TEST_CASE("a publish with an outdated base has its own exit code and names the version that replaced the base")
{
    FakeServer fake;
    fake.answers["PUT " + OrderingPath] = {409, R"({"state":"beaten","version":12})"};
    const Outcome outcome = run({"service", "publish", OrderingFile}, fake.address);
    CHECK(outcome.code == ExitCode::Superseded);
    CHECK(outcome.complained.find("version 12") != std::string::npos);
}

TEST_CASE("a publish whose outcome is unknown is polled until it is known")
{
    FakeServer fake;
    CommandOptions options;
    options.request = "r1";
    fake.answers["PUT " + OrderingPath] = {202, R"({"state":"unknown"})"};
    fake.answers["GET /admin/v1/publishes/r1"] = {200, R"({"state":"accepted","version":4})"};
    const Outcome outcome = run({"service", "publish", OrderingFile}, fake.address, options);
    CHECK(outcome.code == ExitCode::Done);
    CHECK(outcome.printed == "published service/ordering version 4\n");
}

TEST_CASE("an invalid document or one of the wrong kind is not sent")
{
    FakeServer fake;
    CHECK(run({"organisation", "publish", OrderingFile}, fake.address).code == ExitCode::Usage);
    CHECK(run({"document", "check", "/nonexistent"}, fake.address).code == ExitCode::Usage);
    CHECK(run({"document", "check", OrderingFile}, fake.address).printed == "service/ordering: valid\n");
    CHECK(fake.calls.empty());
}

TEST_CASE("an unreachable daemon and a wrong key have their own exit codes")
{
    FakeServer fake;
    fake.answers["GET /admin/v1/status"] = {401, R"({"error":{"message":"unknown key"}})"};
    const Outcome refused = run({"status"}, fake.address);
    CHECK(refused.code == ExitCode::NotAllowed);
    CHECK(refused.complained.find("unknown key") != std::string::npos);
    CHECK(run({"status"}, "127.0.0.1:1").code == ExitCode::Unreachable);
}

TEST_CASE("a time line includes the peers' events and names the peers that could not be reached")
{
    FakeServer fake;
    FakeServer peer;
    fake.answers["GET /admin/v1/status"] = {200, R"({"peers":[{"address":")" + peer.address + R"("},{"address":"127.0.0.1:1"}]})"};
    fake.answers["GET /admin/v1/timeline"] = {200, toJson(TimelineReport{"a1", "a", 0, {eventAt(2, 0, EventKind::RequestAnswered)}})};
    peer.answers["GET /admin/v1/timeline"] = {200, toJson(TimelineReport{"b1", "b", 0, {eventAt(1, 0, EventKind::RequestReceived)}})};
    const Outcome outcome = run({"timeline"}, fake.address);
    CHECK(outcome.code == ExitCode::Done);
    CHECK(outcome.printed.find("request_received") < outcome.printed.find("request_answered"));
    CHECK(outcome.complained.find("not included: 127.0.0.1:1") != std::string::npos);
}

TEST_CASE("events of several processes are merged in causal order")
{
    const auto merged = mergeTimelines({{"a1", "a", 0, {eventAt(5, 0, EventKind::AttemptSent), eventAt(9, 2, EventKind::RequestAnswered)}},
                                        {"b1", "b", 0, {eventAt(5, 1, EventKind::FirstOutput), eventAt(9, 1, EventKind::ClaimWon)}}});
    REQUIRE(merged.size() == 4);
    CHECK(merged[0].event.kind == EventKind::AttemptSent);
    CHECK(merged[1].event.kind == EventKind::FirstOutput);
    CHECK(merged[2].event.kind == EventKind::ClaimWon);
    CHECK(merged[3].process == "a1");
}

TEST_CASE("the trace format has an instant for each event and a span for each request and process")
{
    const auto merged = mergeTimelines({{"a1", "a", 0, {eventAt(5, 0, EventKind::AttemptSent), eventAt(9, 0, EventKind::RequestAnswered)}}});
    const Json trace = Json::parse(timelineTrace(merged));
    const auto countOf = [&trace](const char *phase) {
        return std::count_if(trace["traceEvents"].begin(), trace["traceEvents"].end(), [phase](const Json &it) {
            return it["ph"] == phase;
        });
    };
    CHECK(countOf("i") == 2);
    CHECK(countOf("M") == 1);
    CHECK(countOf("X") == 1);
    CHECK(trace["traceEvents"][2]["dur"] == 4000);
}

TEST_CASE("status marks what needs attention, in colour only on a terminal")
{
    const Json status{{"name", "a1"}, {"ready", false}, {"not_ready", {"shutting down"}}, {"claims_in_doubt", 2}};
    CHECK(statusText(status, false).find("because: shutting down") != std::string::npos);
    CHECK(statusText(status, false).find('\x1b') == std::string::npos);
    CHECK(statusText(status, true).find("\x1b[31m2\x1b[0m claims in doubt") != std::string::npos);
}

TEST_CASE("commands require a number of arguments, and completion lists all first words")
{
    const auto commands = orderCommands();
    CHECK(argumentCount(*findCommand(commands, {"claims", "resolve"})) == 4);
    CHECK(argumentCount(*findCommand(commands, {"claims", "list"})) == 0);
    CHECK(findCommand(commands, {"claims"}) == nullptr);
    CHECK(completionScript(commands).find("claims) words=\"list resolve\"") != std::string::npos);
}
