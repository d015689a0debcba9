#include "auburndrum/base/settings.h"

#include "auburndrum/base/settingtable.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <cstdlib>

namespace auburndrum {

namespace {

std::optional<SettingFault> readOne(const SettingRow &row, const SettingLookup &flags, const SettingLookup &environment, Settings &settings)
{
    std::optional<std::string> given = flags(row.name);
    if (!given) {
        given = environment(row.name);
    }
    if (!given && row.required) {
        return SettingFault{row.name, "", fmt::format("required: {}", row.allowed)};
    }
    const std::string text = given.value_or(row.defaultText);
    const std::optional<std::string> allowed = row.assign(text, settings);
    if (!allowed) {
        return std::nullopt;
    }
    return SettingFault{row.name, row.secret ? "" : text, fmt::format("allowed: {}", *allowed)};
}

/// Checks constraints between settings.
void checkTogether(const Settings &settings, std::vector<SettingFault> &faults)
{
    if (settings.drainLimit < settings.balancerLag) {
        faults.push_back({"drain_limit",
                          fmt::format("{}ms", settings.drainLimit.count()),
                          fmt::format("allowed: at least balancer_lag, {}ms", settings.balancerLag.count())});
    }
    if (settings.fleetSecret.empty() && !isLoopback(settings.listen)) {
        faults.push_back({"fleet_secret", "", fmt::format("required when listen is not loopback: {}", toText(settings.listen))});
    }
}

} // namespace

Result<Settings, std::vector<SettingFault>> readSettings(const SettingLookup &flags, const SettingLookup &environment)
{
    Settings settings;
    std::vector<SettingFault> faults;
    for (const SettingRow &it : settingTable()) {
        if (auto fault = readOne(it, flags, environment, settings)) {
            faults.push_back(std::move(*fault));
        }
    }
    if (faults.empty()) {
        checkTogether(settings, faults);
    }
    if (!faults.empty()) {
        return failure(std::move(faults));
    }
    return settings;
}

std::string toText(const SettingFault &fault)
{
    const std::string given = fault.given.empty() ? "" : fmt::format("given \"{}\", ", fault.given);
    return fmt::format("{}: {}{}", fault.name, given, fault.reason);
}

std::string environmentName(std::string_view settingName)
{
    return fmt::format("AUBURNDRUM_{}", absl::AsciiStrToUpper(std::string(settingName)));
}

SettingLookup processEnvironment()
{
    return [](std::string_view name) -> std::optional<std::string> {
        const char *value = std::getenv(environmentName(name).c_str());
        if (value == nullptr) {
            return std::nullopt;
        }
        return value;
    };
}

} // namespace auburndrum
