#include "command.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <set>

namespace auburndrum::cli {

namespace {

constexpr std::string_view ExitCodes = R"(
Exit codes:
  0  done
  1  failed
  2  wrong command line or invalid document; nothing was sent or changed
  3  no daemon answered
  4  beaten: another version had replaced the base
  5  unknown: it may be in effect; ask again
  6  not allowed: the key is missing, unknown or not the owner's
  7  not found

The operator key is read from AUBURNDRUM_KEY. `auburndrum --help` lists the flags.
)";

} // namespace

std::size_t argumentCount(const Command &command)
{
    if (command.arguments.empty()) {
        return 0;
    }
    return 1 + static_cast<std::size_t>(std::count(command.arguments.begin(), command.arguments.end(), ' '));
}

const Command *findCommand(const std::vector<Command> &commands, const std::vector<std::string> &line)
{
    for (const Command &it : commands) {
        if (it.words.size() <= line.size() && std::equal(it.words.begin(), it.words.end(), line.begin())) {
            return &it;
        }
    }
    return nullptr;
}

std::string helpText(const std::vector<Command> &commands)
{
    std::string text = "Usage: auburndrum [flags] COMMAND [arguments]\n\n";
    for (const Command &it : commands) {
        text += fmt::format("  {:<36} {}\n", fmt::format("{} {}", fmt::join(it.words, " "), it.arguments), it.summary);
    }
    return text + std::string(ExitCodes);
}

std::string completionScript(const std::vector<Command> &commands)
{
    std::set<std::string> heads;
    std::string cases;
    for (const Command &it : commands) {
        if (!heads.insert(it.words[0]).second) {
            continue;
        }
        std::vector<std::string> seconds;
        for (const Command &other : commands) {
            if (other.words[0] == it.words[0] && other.words.size() > 1) {
                seconds.push_back(other.words[1]);
            }
        }
        cases += fmt::format("    {}) words=\"{}\" ;;\n", it.words[0], fmt::join(seconds, " "));
    }
    return fmt::format(R"(_auburndrum() {{
    local words="{}"
    if [ "$COMP_CWORD" -gt 1 ]; then
    case "${{COMP_WORDS[1]}}" in
{}    *) words="" ;;
    esac
    fi
    [ "$COMP_CWORD" -gt 2 ] && words=""
    COMPREPLY=($(compgen -W "$words" -- "${{COMP_WORDS[COMP_CWORD]}}"))
    [ -z "$words" ] && COMPREPLY=($(compgen -f -- "${{COMP_WORDS[COMP_CWORD]}}"))
}}
complete -F _auburndrum auburndrum
)",
                       fmt::join(heads, " "),
                       cases);
}

ExitCode finish(const CommandContext &context, const AdminAnswer &answer)
{
    const ExitCode code = exitCodeOf(answer);
    if (code != ExitCode::Done) {
        context.printError(errorText(answer));
    }
    return code;
}

} // namespace auburndrum::cli
