#include "auburndrum/base/settingtable.h"

#include <fmt/format.h>

namespace auburndrum {

namespace {

constexpr std::string_view PageHead = R"(# Settings of auburndrumd

This page is the output of `auburndrumd --print_settings_page`; a test compares the two.

Each setting is a flag `--NAME=VALUE` and an environment variable. The flag beats the environment, and the environment beats
the default. All settings are checked before anything starts: the daemon prints every fault, one a line, and exits with 2.
`auburndrumd --check` checks and exits. Give secrets in the environment, because other users of a VM can read its command lines.

| flag | environment | type | default | allowed | meaning |
|---|---|---|---|---|---|
)";

std::string defaultCell(const SettingRow &row)
{
    if (row.required) {
        return "required";
    }
    return row.defaultText.empty() ? "empty" : fmt::format("`{}`", row.defaultText);
}

std::string allowedCell(const SettingRow &row)
{
    if (row.unit.empty()) {
        return row.allowed;
    }
    return fmt::format("{} ({})", row.allowed, row.unit);
}

} // namespace

std::string settingsPage()
{
    std::string page(PageHead);
    for (const SettingRow &it : settingTable()) {
        page += fmt::format("| `--{}` | `{}` | {} ", it.name, environmentName(it.name), it.type);
        page += fmt::format("| {} | {} | {} |\n", defaultCell(it), allowedCell(it), it.meaning);
    }
    return page;
}

} // namespace auburndrum
