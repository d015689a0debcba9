#include "auburndrum/base/settings.h"
#include "auburndrum/base/settingtable.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <absl/types/optional.h>

// Only this object file defines flags, so that programs which don't call parseCommandLine() don't get them.
// The settings test checks that table and flags name the same settings.
#define AUBURNDRUM_SETTING_FLAG(NAME) ABSL_FLAG(absl::optional<std::string>, NAME, absl::nullopt, auburndrum::settingHelp(#NAME))

AUBURNDRUM_SETTING_FLAG(name);
AUBURNDRUM_SETTING_FLAG(zone);
AUBURNDRUM_SETTING_FLAG(region);
AUBURNDRUM_SETTING_FLAG(listen);
AUBURNDRUM_SETTING_FLAG(platform);
AUBURNDRUM_SETTING_FLAG(peers);
AUBURNDRUM_SETTING_FLAG(max_body_bytes);
AUBURNDRUM_SETTING_FLAG(max_header_bytes);
AUBURNDRUM_SETTING_FLAG(max_connections);
AUBURNDRUM_SETTING_FLAG(timeline_events);
AUBURNDRUM_SETTING_FLAG(request_timeout);
AUBURNDRUM_SETTING_FLAG(drain_limit);
AUBURNDRUM_SETTING_FLAG(balancer_lag);
AUBURNDRUM_SETTING_FLAG(log_level);
AUBURNDRUM_SETTING_FLAG(log_format);
AUBURNDRUM_SETTING_FLAG(administrator_key_hash);
AUBURNDRUM_SETTING_FLAG(fleet_secret);

ABSL_FLAG(bool, check, false, "Check the settings, print all faults and exit: 0 when there are none, otherwise 2.");
ABSL_FLAG(bool, print_settings_page, false, "Print docs/SETTINGS.md and exit.");

namespace auburndrum {

namespace {

std::optional<std::string> flagValue(std::string_view name)
{
    const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(std::string(name));
    if (flag == nullptr) {
        return std::nullopt;
    }
    const auto value = flag->TryGet<absl::optional<std::string>>();
    if (!value || !*value) {
        return std::nullopt;
    }
    return **value;
}

RunMode requestedMode()
{
    if (absl::GetFlag(FLAGS_print_settings_page)) {
        return RunMode::PrintSettingsPage;
    }
    return absl::GetFlag(FLAGS_check) ? RunMode::CheckSettings : RunMode::Serve;
}

bool isSettingsFile(absl::string_view file)
{
    return absl::EndsWith(file, "settingsflags.cpp");
}

} // namespace

CommandLine parseCommandLine(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Serves language-model prompts on one entry VM. Each flag can also be set in the environment; the flag wins.");
    absl::FlagsUsageConfig usage;
    usage.contains_helpshort_flags = isSettingsFile;
    usage.contains_help_flags = isSettingsFile;
    usage.contains_helppackage_flags = isSettingsFile;
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    return CommandLine{requestedMode(), readSettings(flagValue, processEnvironment())};
}

} // namespace auburndrum
