#pragma once

#include "auburndrum/base/settingtable.h"

namespace auburndrum {

/// Row of a name of 1 to 64 letters, digits, '-', '_' and '.'.
SettingRow nameRow(std::string Settings::*member);

/// Row of one IP:PORT.
SettingRow addressRow(SocketAddress Settings::*member);

/// Row of a comma-separated list of IP:PORT, which may be empty.
SettingRow addressListRow(std::vector<SocketAddress> Settings::*member);

/// Row of an integer between two inclusive bounds.
SettingRow countRow(std::uint64_t Settings::*member, std::uint64_t lowest, std::uint64_t highest, std::string unit);

/// Row of a duration such as "1.5s" between two inclusive bounds.
SettingRow durationRow(std::chrono::milliseconds Settings::*member, std::chrono::milliseconds lowest, std::chrono::milliseconds highest);

/// Row of the log level.
SettingRow logLevelRow();

/// Row of the log format.
SettingRow logFormatRow();

/// Row of a secret of at least `shortest` characters, or empty.
SettingRow secretRow(std::string Settings::*member, std::size_t shortest);

/// Row of a "SALT:HASH" of an API key, or empty.
SettingRow keyHashRow(std::string Settings::*member);

} // namespace auburndrum
