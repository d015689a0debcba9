#include "auburndrum/base/settings.h"

#include "auburndrum/base/settingtable.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <cstdlib>

namespace auburndrum {

namespace {

std::optional<SettingError> readOne(const SettingRow &row, const SettingLookup &flags, const SettingLookup &environment, Settings &settings)
{
    std::optional<std::string> given = flags(row.name);
    if (!given) {
        given = environment(row.name);
    }
    if (!given && row.required) {
        return SettingError{row.name, "", fmt::format("required: {}", row.allowed)};
    }
    const std::string text = given.value_or(row.defaultText);
    const std::optional<std::string> allowed = row.assign(text, settings);
    if (!allowed) {
        return std::nullopt;
    }
    return SettingError{row.name, row.secret ? "" : text, fmt::format("allowed: {}", *allowed)};
}

/// Checks constraints between settings.
void checkConstraints(const Settings &settings, std::vector<SettingError> &errors)
{
    if (settings.drainLimit < settings.balancerLag) {
        errors.push_back({"drain_limit",
                          fmt::format("{}ms", settings.drainLimit.count()),
                          fmt::format("allowed: at least balancer_lag, {}ms", settings.balancerLag.count())});
    }
    if (settings.fleetSecret.empty() && !isLoopback(settings.listen)) {
        errors.push_back({"fleet_secret", "", fmt::format("required when listen is not loopback: {}", toText(settings.listen))});
    }
}

} // namespace

Result<Settings, std::vector<SettingError>> readSettings(const SettingLookup &flags, const SettingLookup &environment)
{
    Settings settings;
    std::vector<SettingError> errors;
    for (const SettingRow &it : settingTable()) {
        if (auto error = readOne(it, flags, environment, settings)) {
            errors.push_back(std::move(*error));
        }
    }
    if (errors.empty()) {
        checkConstraints(settings, errors);
    }
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    return settings;
}

std::string toText(const SettingError &error)
{
    const std::string given = error.given.empty() ? "" : fmt::format("given \"{}\", ", error.given);
    return fmt::format("{}: {}{}", error.name, given, error.reason);
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
