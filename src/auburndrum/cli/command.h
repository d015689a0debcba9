#pragma once

#include "adminclient.h"
#include "exitcode.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::cli {

/// Flags of the program, read once.
struct CommandOptions
{
    std::optional<std::string> base; ///< version that a publish replaces; the one in force when absent
    std::string request; ///< request id
    std::chrono::milliseconds since{0}; ///< 0: everything kept
    std::string format = "text";
    bool isJson = false;
    bool isColoured = false;
    std::chrono::milliseconds interval{1000}; ///< between refreshes of `top`
};

/// What a command runs with.
struct CommandContext
{
    AdminClient client;
    CommandOptions options;
    std::vector<std::string> arguments; ///< after the command's words
    std::function<void(std::string_view)> print; ///< to standard output
    std::function<void(std::string_view)> complain; ///< one line to standard error
};

/// One subcommand.
struct Command
{
    std::vector<std::string> words; ///< such as {"service", "publish"}
    std::string arguments; ///< such as "FILE"; each word is one argument
    std::string summary;
    std::function<ExitCode(const CommandContext &)> run;
};

std::vector<Command> documentCommands();
std::vector<Command> observeCommands();
std::vector<Command> orderCommands();

/// Number of arguments that a command wants.
std::size_t argumentCount(const Command &command);

/// The command whose words begin the line, or nullptr.
const Command *findCommand(const std::vector<Command> &commands, const std::vector<std::string> &line);

/// Text of `auburndrum help`: commands and exit codes.
std::string helpText(const std::vector<Command> &commands);

/// A completion script for bash.
std::string completionScript(const std::vector<Command> &commands);

/// Tells of an answer that is no success and returns its exit code.
ExitCode finish(const CommandContext &context, const AdminAnswer &answer);

} // namespace auburndrum::cli
