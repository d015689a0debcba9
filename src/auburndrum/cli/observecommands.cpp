#include "auburndrum/base/time.h"
#include "command.h"
#include "statustext.h"
#include "timelinemerge.h"

#include <fmt/format.h>

#include <QThread>

namespace auburndrum::cli {

namespace {

constexpr std::string_view ClearScreen = "\x1b[H\x1b[2J";

ExitCode showStatus(const CommandContext &context)
{
    const AdminAnswer answer = context.client.call({.path = "status"});
    if (exitCodeOf(answer) != ExitCode::Done) {
        return finish(context, answer);
    }
    context.print(context.options.isJson ? answer.json.dump(2) + "\n" : statusText(answer.json, context.options.isColoured));
    return ExitCode::Done;
}

ExitCode showTop(const CommandContext &context)
{
    while (true) {
        const AdminAnswer answer = context.client.call({.path = "status"});
        context.print(ClearScreen);
        if (exitCodeOf(answer) == ExitCode::Done) {
            context.print(statusText(answer.json, context.options.isColoured));
        } else if (finish(context, answer) == ExitCode::NotAllowed) {
            return ExitCode::NotAllowed;
        }
        QThread::msleep(context.options.interval.count());
    }
}

/// Addresses of the peers in a daemon's status.
std::vector<std::string> peerAddresses(const Json &status)
{
    std::vector<std::string> addresses;
    for (const Json &it : status.value("peers", Json::array())) {
        addresses.push_back(it.value("address", ""));
    }
    return addresses;
}

std::map<std::string, std::string> timelineQuery(const CommandOptions &options)
{
    std::map<std::string, std::string> query;
    if (!options.request.empty()) {
        query["request"] = options.request;
    }
    if (options.since.count() > 0) {
        query["since_ms"] = std::to_string((wallNow() - options.since).time_since_epoch().count());
    }
    return query;
}

/// Adds one daemon's report, or prints an error when it could not be fetched.
void collect(const CommandContext &context, const AdminClient &client, std::vector<TimelineReport> &reports)
{
    const AdminAnswer answer = client.call({.path = "timeline", .query = timelineQuery(context.options)});
    auto report = exitCodeOf(answer) == ExitCode::Done ? parseTimelineReport(answer.json.dump()) : std::nullopt;
    if (!report) {
        context.printError("not included: " + errorText(answer));
        return;
    }
    if (report->dropped > 0) {
        context.printError(fmt::format("{}: {} older events were dropped", report->process, report->dropped));
    }
    reports.push_back(std::move(*report));
}

ExitCode showTimeline(const CommandContext &context)
{
    const std::string &format = context.options.format;
    if (format != "text" && format != "json" && format != "trace") {
        context.printError(fmt::format("--format: given \"{}\", allowed: text, json, trace", format));
        return ExitCode::Usage;
    }
    const AdminAnswer status = context.client.call({.path = "status"});
    if (exitCodeOf(status) != ExitCode::Done) {
        return finish(context, status);
    }
    std::vector<TimelineReport> reports;
    collect(context, context.client, reports);
    for (const std::string &it : peerAddresses(status.json)) {
        collect(context, context.client.forServer(it), reports);
    }
    const auto events = mergeTimelines(reports);
    if (format == "json") {
        context.print(timelineJson(events));
    } else {
        context.print(format == "trace" ? timelineTrace(events) : timelineText(events));
    }
    return reports.empty() ? ExitCode::Unreachable : ExitCode::Done;
}

} // namespace

std::vector<Command> observeCommands()
{
    return {
        {{"status"}, "", "print one daemon's view at a glance [--json]", showStatus},
        {{"top"}, "", "the same, refreshed [--interval=1s]", showTop},
        {{"timeline"}, "", "events of all daemons [--request=ID] [--since=5m] [--format=text|json|trace]", showTimeline},
    };
}

} // namespace auburndrum::cli
