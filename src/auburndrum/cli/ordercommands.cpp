#include "auburndrum/base/apikey.h"
#include "command.h"

#include <fmt/format.h>

#include <charconv>
#include <iostream>

namespace auburndrum::cli {

namespace {

/// Address of the entry VM with this name, as listed in the contacted daemon's status; empty when it is not listed.
std::string addressOfEntry(const CommandContext &context, const std::string &name)
{
    const AdminAnswer answer = context.client.call({.path = "status"});
    if (exitCodeOf(answer) != ExitCode::Done) {
        return {};
    }
    for (const Json &it : answer.json.value("peers", Json::array())) {
        if (it.value("name", "") == name) {
            return it.value("address", "");
        }
    }
    return {};
}

ExitCode drainVm(const CommandContext &context)
{
    const AdminCall drain{"POST", "vms/" + context.arguments[0] + "/drain", {}, {}};
    // An entry VM can only be drained by its own daemon, so the request is sent there.
    const std::string address = addressOfEntry(context, context.arguments[0]);
    const AdminAnswer answer = address.empty() ? context.client.call(drain) : context.client.forServer(address).call(drain);
    if (exitCodeOf(answer) == ExitCode::Done) {
        context.print(fmt::format("{} drains\n", context.arguments[0]));
    }
    return finish(context, answer);
}

ExitCode listClaims(const CommandContext &context)
{
    const AdminAnswer answer = context.client.call({.path = "claims"});
    if (exitCodeOf(answer) != ExitCode::Done) {
        return finish(context, answer);
    }
    for (const Json &it : answer.json.value("claims", Json::array())) {
        context.print(fmt::format("{:<20} {:<20} {}\n", it.value("service", ""), it.value("organisation", ""), it.value("key", "")));
    }
    context.print(fmt::format("{} claims in doubt\n", answer.json.value("total", 0ULL)));
    return ExitCode::Done;
}

/// Arguments: SERVICE ORGANISATION KEY FINDING, where FINDING is not-run or the HTTP status with which the call ended.
ExitCode resolveClaim(const CommandContext &context)
{
    const std::string &finding = context.arguments[3];
    Json body{{"service", context.arguments[0]}, {"organisation", context.arguments[1]}, {"key", context.arguments[2]}};
    body["ran"] = finding != "not-run";
    if (finding != "not-run") {
        unsigned status = 0;
        const auto [end, ec] = std::from_chars(finding.data(), finding.data() + finding.size(), status);
        if (ec != std::errc() || end != finding.data() + finding.size()) {
            context.printError(fmt::format("FINDING: given \"{}\", allowed: not-run, or the HTTP status of the call that ran", finding));
            return ExitCode::Usage;
        }
        body["status"] = status;
    }
    const AdminAnswer answer = context.client.call({"POST", "claims/resolve", {}, body.dump()});
    if (exitCodeOf(answer) == ExitCode::Done) {
        context.print("resolved\n");
    }
    return finish(context, answer);
}

ExitCode setLevel(const CommandContext &context)
{
    const Json body{{"level", context.arguments[0]}};
    const AdminAnswer answer = context.client.call({"PUT", "log-level", {}, body.dump()});
    if (exitCodeOf(answer) == ExitCode::Done) {
        context.print(fmt::format("log level {}\n", answer.json.value("level", "")));
    }
    return finish(context, answer);
}

/// The key is read from standard input, so that it stays out of the shell's history and the process list.
ExitCode hashKey(const CommandContext &context)
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty()) {
        context.printError("give the key on standard input, one line");
        return ExitCode::Usage;
    }
    context.print(hashApiKey(key) + "\n");
    return ExitCode::Done;
}

} // namespace

std::vector<Command> orderCommands()
{
    return {
        {{"vm", "drain"}, "NAME", "shut an entry VM's daemon down gracefully", drainVm},
        {{"claims", "list"}, "", "list claims in doubt", listClaims},
        {{"claims", "resolve"}, "SERVICE ORGANISATION KEY FINDING", "record whether a call ran: not-run, or its HTTP status", resolveClaim},
        {{"log-level", "set"}, "LEVEL", "change one daemon's log level: error, warning, info, debug", setLevel},
        {{"key", "hash"}, "", "hash the API key read from standard input", hashKey},
    };
}

} // namespace auburndrum::cli
