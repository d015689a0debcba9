#pragma once

#include "auburndrum/base/settings.h"

namespace auburndrum {

/// Stores a value given as text. Returns nothing on success, otherwise what is allowed.
using SettingAssign = std::function<std::optional<std::string>(std::string_view, Settings &)>;

/// One row of the table of settings.
struct SettingRow
{
    std::string name; ///< flag name; the environment variable follows from it
    std::string type;
    std::string unit; ///< empty when the value has none
    std::string defaultText; ///< text that `assign` accepts; unused when `required`
    std::string allowed; ///< human-readable range or format
    std::string meaning; ///< one sentence
    bool required = false;
    bool secret = false; ///< the value is never printed
    SettingAssign assign;
};

/// Every setting of the daemon, in the order of the documentation.
const std::vector<SettingRow> &settingTable();

/// Returns the row of the setting with this name, or nullptr.
const SettingRow *findSetting(std::string_view name);

/// Help text of a flag: meaning, unit, range, default and environment variable.
std::string settingHelp(std::string_view name);

} // namespace auburndrum
