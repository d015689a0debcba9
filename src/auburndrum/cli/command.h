#pragma once

#include "adminclient.h"
#include "exitcode.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::cli {

/// Values of the program's command-line flags.
struct CommandOptions
{
    std::optional<std::string> base; ///< base version for a publish; absent: the version in force
    std::string request; ///< request id
    std::chrono::milliseconds since{0}; ///< maximum age of events; 0: no limit
    std::string format = "text";
    bool isJson = false;
    bool isColoured = false;
    std::chrono::milliseconds interval{1000}; ///< between refreshes of `top`
};

/// Client, flags, arguments and output functions for a command.
struct CommandContext
{
    AdminClient client;
    CommandOptions options;
    std::vector<std::string> arguments; ///< arguments that follow the command's words
    std::function<void(std::string_view)> print; ///< writes to standard output
    std::function<void(std::string_view)> printError; ///< writes one line to standard error
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

/// Number of arguments that a command requires.
std::size_t argumentCount(const Command &command);

/// Returns the command whose words start the command line, or nullptr.
const Command *findCommand(const std::vector<Command> &commands, const std::vector<std::string> &line);

/// Text of `auburndrum help`: commands and exit codes.
std::string helpText(const std::vector<Command> &commands);

/// A completion script for bash.
std::string completionScript(const std::vector<Command> &commands);

/// Prints the error of an unsuccessful response and returns the response's exit code.
ExitCode finish(const CommandContext &context, const AdminAnswer &answer);

} // namespace auburndrum::cli
