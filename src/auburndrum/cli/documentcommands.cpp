#include "auburndrum/base/randomid.h"
#include "auburndrum/decision/documentparser.h"
#include "command.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <QThread>

#include <fstream>
#include <sstream>

namespace auburndrum::cli {

namespace {

using decision::AnyDocument;
using decision::DocumentKind;

constexpr int OutcomePolls = 20;
constexpr std::chrono::milliseconds OutcomePollInterval{500};

struct DocumentFile
{
    AnyDocument document;
    std::string text;
};

/// Reads and validates a file. Prints an error and returns nothing when it can't be read or is invalid.
std::optional<DocumentFile> readDocumentFile(const CommandContext &context, const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        context.printError(fmt::format("{}: can't be read", path));
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto document = decision::parseDocument(text.str());
    if (!document.has_value()) {
        for (const decision::DocumentError &it : document.error()) {
            context.printError(fmt::format("{}: {}", path, toText(it)));
        }
        return std::nullopt;
    }
    return DocumentFile{std::move(document.value()), text.str()};
}

std::string pathOf(DocumentKind kind, const std::string &name)
{
    return "documents/" + decision::documentKey(kind, name);
}

AdminAnswer fetch(const CommandContext &context, DocumentKind kind, const std::string &name)
{
    return context.client.call({.path = pathOf(kind, name)});
}

/// Base version for a publish: the flag's value, or else the version in force. Prints an error and returns nothing when it can't be determined.
std::optional<std::string> baseVersion(const CommandContext &context, DocumentKind kind, const std::string &name, ExitCode &code)
{
    if (context.options.base) {
        return context.options.base;
    }
    const AdminAnswer current = fetch(context, kind, name);
    if (exitCodeOf(current) == ExitCode::NotFound) {
        return "0";
    }
    code = finish(context, current);
    if (code != ExitCode::Done) {
        return std::nullopt;
    }
    return std::to_string(current.json.value("version", 0ULL));
}

/// Polls while the outcome of a publish is unknown, which happens when its response or its log record is delayed.
AdminAnswer awaitOutcome(const CommandContext &context, AdminAnswer answer, const std::string &requestId)
{
    for (int n = 0; n < OutcomePolls; ++n) {
        const ExitCode code = exitCodeOf(answer);
        if (code != ExitCode::Unknown && code != ExitCode::Unreachable) {
            break;
        }
        QThread::msleep(OutcomePollInterval.count());
        answer = context.client.call({.path = "publishes/" + requestId});
    }
    return answer;
}

ExitCode publishText(const CommandContext &context, DocumentKind kind, const std::string &name, const std::string &text)
{
    ExitCode code = ExitCode::Done;
    const auto base = baseVersion(context, kind, name, code);
    if (!base) {
        return code;
    }
    const std::string requestId = context.options.request.empty() ? randomId() : context.options.request;
    AdminAnswer answer = context.client.call({"PUT", pathOf(kind, name), {{"base", *base}, {"request", requestId}}, text});
    const bool isUnanswered = answer.status == 0;
    answer = awaitOutcome(context, std::move(answer), requestId);
    code = exitCodeOf(answer);
    const std::uint64_t version = answer.json.is_object() ? answer.json.value("version", 0ULL) : 0;
    if (code == ExitCode::Done) {
        context.print(fmt::format("published {} version {}\n", decision::documentKey(kind, name), version));
    } else if (code == ExitCode::Superseded) {
        context.printError(fmt::format("beaten: base {} was replaced by version {}; look at it, then publish again", *base, version));
    } else if (code == ExitCode::Unknown || (code == ExitCode::Unreachable && isUnanswered)) {
        context.printError(fmt::format("unknown: publish again with --request={} to learn the outcome", requestId));
        code = ExitCode::Unknown;
    } else {
        context.printError(errorText(answer));
    }
    return code;
}

ExitCode publishFile(const CommandContext &context, DocumentKind wanted)
{
    const auto file = readDocumentFile(context, context.arguments[0]);
    if (!file) {
        return ExitCode::Usage;
    }
    if (decision::kindOf(file->document) != wanted) {
        context.printError(fmt::format("{}: not a document of kind \"{}\"", context.arguments[0], toText(wanted)));
        return ExitCode::Usage;
    }
    return publishText(context, wanted, decision::nameOf(file->document), file->text);
}

ExitCode checkFile(const CommandContext &context)
{
    const auto file = readDocumentFile(context, context.arguments[0]);
    if (!file) {
        return ExitCode::Usage;
    }
    const std::string key = decision::documentKey(decision::kindOf(file->document), decision::nameOf(file->document));
    context.print(fmt::format("{}: valid\n", key));
    return ExitCode::Done;
}

ExitCode listKind(const CommandContext &context, DocumentKind kind)
{
    const AdminAnswer answer = context.client.call({.path = "documents"});
    if (exitCodeOf(answer) != ExitCode::Done) {
        return finish(context, answer);
    }
    const std::string prefix = decision::documentKey(kind, "");
    for (const Json &it : answer.json.value("documents", Json::array())) {
        const std::string key = it.value("document", "");
        if (key.starts_with(prefix)) {
            context.print(fmt::format("{:<32} version {:<8} {}\n", key.substr(prefix.size()), it.value("version", 0ULL), it.value("owner_team", "")));
        }
    }
    return ExitCode::Done;
}

ExitCode showService(const CommandContext &context)
{
    const AdminAnswer answer = fetch(context, DocumentKind::Service, context.arguments[0]);
    if (exitCodeOf(answer) == ExitCode::Done) {
        context.print(answer.json.value("body", "") + "\n");
    }
    return finish(context, answer);
}

ExitCode diffService(const CommandContext &context)
{
    const auto file = readDocumentFile(context, context.arguments[0]);
    if (!file) {
        return ExitCode::Usage;
    }
    const AdminAnswer answer = fetch(context, decision::kindOf(file->document), decision::nameOf(file->document));
    if (exitCodeOf(answer) != ExitCode::Done) {
        return finish(context, answer);
    }
    const auto current = decision::parseDocument(answer.json.value("body", ""));
    if (!current.has_value()) {
        context.printError("the version in force can't be read by this release");
        return ExitCode::Failed;
    }
    const Json patch = Json::diff(Json::parse(toJson(current.value())), Json::parse(toJson(file->document)));
    for (const Json &it : patch) {
        context.print(fmt::format("{:<8} {} {}\n", it.value("op", ""), it.value("path", ""), it.contains("value") ? it["value"].dump() : ""));
    }
    return ExitCode::Done;
}

AdminAnswer fetchHistory(const CommandContext &context, const std::string &name)
{
    return context.client.call({.path = pathOf(DocumentKind::Service, name) + "/history"});
}

ExitCode showHistory(const CommandContext &context)
{
    const AdminAnswer answer = fetchHistory(context, context.arguments[0]);
    if (exitCodeOf(answer) != ExitCode::Done) {
        return finish(context, answer);
    }
    for (const Json &it : answer.json.value("versions", Json::array())) {
        const std::time_t seconds = it.value("time_ms", 0LL) / 1000;
        const bool isWithdrawn = it.value("body", "").empty();
        context.print(fmt::format("version {:<8} {:%Y-%m-%dT%H:%M:%SZ} {}{}\n",
                                  it.value("version", 0ULL),
                                  fmt::gmtime(seconds),
                                  it.value("author", ""),
                                  isWithdrawn ? " (withdrawn)" : ""));
    }
    return ExitCode::Done;
}

ExitCode rollBackService(const CommandContext &context)
{
    const std::string &name = context.arguments[0];
    const AdminAnswer answer = fetchHistory(context, name);
    if (exitCodeOf(answer) != ExitCode::Done) {
        return finish(context, answer);
    }
    for (const Json &it : answer.json.value("versions", Json::array())) {
        const std::string body = it.value("body", "");
        if (std::to_string(it.value("version", 0ULL)) == context.arguments[1] && !body.empty()) {
            return publishText(context, DocumentKind::Service, name, body);
        }
    }
    context.printError(fmt::format("version {} is not in the history of this daemon", context.arguments[1]));
    return ExitCode::NotFound;
}

Command kindCommand(
    DocumentKind kind, const std::string &verb, const std::string &arguments, const std::string &summary, ExitCode (*run)(const CommandContext &, DocumentKind))
{
    const auto bound = [kind, run](const CommandContext &context) {
        return run(context, kind);
    };
    return {{std::string(toText(kind)), verb}, arguments, summary, bound};
}

} // namespace

std::vector<Command> documentCommands()
{
    std::vector<Command> commands{
        {{"service", "show"}, "NAME", "print the document in force", showService},
        {{"service", "diff"}, "FILE", "print what a publish of FILE would change", diffService},
        {{"service", "history"}, "NAME", "list versions that came into force", showHistory},
        {{"service", "rollback"}, "NAME VERSION", "publish an earlier version again", rollBackService},
        {{"document", "check"}, "FILE", "check a document without sending it", checkFile},
    };
    for (const DocumentKind it : {DocumentKind::Service, DocumentKind::Organisation, DocumentKind::Team}) {
        commands.push_back(kindCommand(it, "publish", "FILE", "publish FILE [--base=VERSION] [--request=ID]", publishFile));
        commands.push_back(kindCommand(it, "list", "", "list documents in force", listKind));
    }
    return commands;
}

} // namespace auburndrum::cli
