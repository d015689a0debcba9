#pragma once

#include "auburndrum/base/errors.h"
#include "auburndrum/base/socketaddress.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum {

/// Log levels, from the least verbose to the most verbose.
enum class LogLevel {
    Error,
    Warning,
    Info,
    Debug,
};

/// Form of a log line.
enum class LogFormat {
    Text,
    Json,
};

/// Start-up settings of one daemon. Defaults are in settingTable().
struct Settings
{
    std::string name;
    std::string zone;
    std::string region;
    SocketAddress listen;
    SocketAddress platform;
    std::vector<SocketAddress> peers;
    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxHeaderBytes = 0;
    std::uint64_t maxConnections = 0;
    std::chrono::milliseconds requestTimeout{0};
    std::chrono::milliseconds drainLimit{0};
    std::chrono::milliseconds balancerLag{0};
    std::uint64_t timelineEvents = 0;
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::Text;
    std::string administratorKeyHash; ///< "SALT:HASH"; empty: only keys in team documents are accepted
    std::string fleetSecret; ///< shared by all daemons of the deployment; empty: peers' calls need no credential
};

/// A missing or invalid setting.
struct SettingError
{
    std::string name;
    std::string given; ///< empty for a missing or a secret value
    std::string reason; ///< "allowed: ..." or "required: ..."

    bool operator==(const SettingError &) const = default;
};

/// Looks up a raw value by setting name, nothing when unset.
using SettingLookup = std::function<std::optional<std::string>(std::string_view)>;

/// Reads every setting; flags take precedence over the environment.
/// @return the settings, or all errors that were found
Result<Settings, std::vector<SettingError>> readSettings(const SettingLookup &flags, const SettingLookup &environment);

/// Formats one error as a line such as `max_body_bytes: given "x", allowed: 1024 to 1073741824 bytes`.
std::string toText(const SettingError &error);

/// Name of the environment variable of a setting, such as AUBURNDRUM_MAX_BODY_BYTES.
std::string environmentName(std::string_view settingName);

/// Looks settings up in the process's environment.
SettingLookup processEnvironment();

/// What the command line asks the daemon to do.
enum class RunMode {
    Serve,
    CheckSettings, ///< --check: check the settings and exit
    PrintSettingsPage, ///< --print_settings_page: write docs/SETTINGS.md to standard output and exit
};

/// The daemon's parsed command line.
struct CommandLine
{
    RunMode mode = RunMode::Serve;
    Result<Settings, std::vector<SettingError>> settings;
};

/// Parses Abseil flags, then reads flags and environment. Exits for --help and unknown flags, as Abseil does.
CommandLine parseCommandLine(int argc, char **argv);

/// Writes docs/SETTINGS.md from the table.
std::string settingsPage();

} // namespace auburndrum
