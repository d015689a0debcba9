#include "command.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <absl/time/time.h>

#include <QCoreApplication>

#include <cstdlib>
#include <iostream>
#include <unistd.h>

ABSL_FLAG(std::string, server, "", "IP:PORT of any daemon. Default: AUBURNDRUM_SERVER, or 127.0.0.1:8080.");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(10), "Longest wait for one answer.");
ABSL_FLAG(std::string, base, "", "publish: version that is replaced, 0 for a new document. Default: the one in force.");
ABSL_FLAG(std::string, request, "", "publish: request id, to ask again about an earlier try. timeline: only this request's events.");
ABSL_FLAG(absl::Duration, since, absl::ZeroDuration(), "timeline: only events at most this old, such as 5m.");
ABSL_FLAG(std::string, format, "text", "timeline: text, json or trace.");
ABSL_FLAG(bool, json, false, "status: print JSON.");
ABSL_FLAG(absl::Duration, interval, absl::Seconds(1), "top: time between refreshes.");

namespace {

using namespace auburndrum::cli;

constexpr const char *DefaultServer = "127.0.0.1:8080";

std::string environmentOr(const char *name, const char *otherwise)
{
    const char *value = std::getenv(name);
    return value == nullptr ? otherwise : value;
}

std::vector<Command> allCommands()
{
    std::vector<Command> commands = documentCommands();
    for (const auto &group : {observeCommands(), orderCommands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    commands.push_back({{"completion"}, "", "print a completion script for bash", [](const CommandContext &context) {
                            context.print(completionScript(allCommands()));
                            return ExitCode::Done;
                        }});
    commands.push_back({{"help"}, "", "print this page", [](const CommandContext &context) {
                            context.print(helpText(allCommands()));
                            return ExitCode::Done;
                        }});
    return commands;
}

CommandOptions readOptions()
{
    CommandOptions options;
    if (!absl::GetFlag(FLAGS_base).empty()) {
        options.base = absl::GetFlag(FLAGS_base);
    }
    options.request = absl::GetFlag(FLAGS_request);
    options.since = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_since));
    options.format = absl::GetFlag(FLAGS_format);
    options.isJson = absl::GetFlag(FLAGS_json);
    options.isColoured = isatty(STDOUT_FILENO) == 1;
    options.interval = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_interval));
    return options;
}

AdminClient makeClient()
{
    const std::string server = absl::GetFlag(FLAGS_server);
    const auto timeout = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
    return {server.empty() ? environmentOr("AUBURNDRUM_SERVER", DefaultServer) : server, environmentOr("AUBURNDRUM_KEY", ""), timeout};
}

std::vector<std::string> parseArguments(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Operates auburndrum. `auburndrum help` lists the commands.");
    absl::FlagsUsageConfig usage;
    usage.contains_help_flags = [](absl::string_view file) {
        return absl::EndsWith(file, "cli/main.cpp");
    };
    absl::SetFlagsUsageConfig(usage);
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    return {positional.begin() + 1, positional.end()};
}

int run(const std::vector<std::string> &line)
{
    const std::vector<Command> commands = allCommands();
    const Command *command = findCommand(commands, line);
    if (command == nullptr) {
        std::cerr << helpText(commands);
        return static_cast<int>(ExitCode::Usage);
    }
    CommandContext context{makeClient(), readOptions(), {line.begin() + static_cast<std::ptrdiff_t>(command->words.size()), line.end()}, {}, {}};
    context.print = [](std::string_view text) {
        std::cout << text << std::flush;
    };
    context.printError = [](std::string_view text) {
        std::cerr << "auburndrum: " << text << std::endl;
    };
    if (context.arguments.size() != argumentCount(*command)) {
        context.printError("wrong number of arguments, expected: " + (command->arguments.empty() ? "none" : command->arguments));
        return static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(command->run(context));
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> line = parseArguments(argc, argv);
    const QCoreApplication app(argc, argv);
    return run(line);
}
