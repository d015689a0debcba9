#include "settingparsers.h"

#include "auburndrum/base/apikey.h"
#include "numbers.h"

#include <absl/time/time.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace auburndrum {

namespace {

constexpr std::size_t LongestNameCharacters = 64;

template<class T>
struct Choice
{
    std::string_view text;
    T value;
};

constexpr std::array LogLevels{
    Choice<LogLevel>{"error", LogLevel::Error},
    Choice<LogLevel>{"warning", LogLevel::Warning},
    Choice<LogLevel>{"info", LogLevel::Info},
    Choice<LogLevel>{"debug", LogLevel::Debug},
};

constexpr std::array LogFormats{
    Choice<LogFormat>{"text", LogFormat::Text},
    Choice<LogFormat>{"json", LogFormat::Json},
};

/// Makes a row whose `assign` calls `store`, which returns false when the text is not allowed.
SettingRow rowOf(std::string type, std::string allowed, std::function<bool(std::string_view, Settings &)> store)
{
    SettingRow row;
    row.type = std::move(type);
    row.allowed = std::move(allowed);
    row.assign = [allowed = row.allowed, store = std::move(store)](std::string_view text, Settings &settings) -> std::optional<std::string> {
        if (store(text, settings)) {
            return std::nullopt;
        }
        return allowed;
    };
    return row;
}

template<class T, std::size_t N>
SettingRow choiceRow(T Settings::*member, const std::array<Choice<T>, N> &choices)
{
    std::string allowed;
    for (const auto &it : choices) {
        allowed += allowed.empty() ? "" : ", ";
        allowed += it.text;
    }
    return rowOf("choice", allowed, [member, &choices](std::string_view text, Settings &settings) {
        for (const auto &it : choices) {
            if (it.text != text) {
                continue;
            }
            settings.*member = it.value;
            return true;
        }
        return false;
    });
}

bool isName(std::string_view text)
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= LongestNameCharacters && text.find_first_not_of(Allowed) == std::string_view::npos;
}

std::vector<std::string_view> splitList(std::string_view text)
{
    std::vector<std::string_view> items;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        items.push_back(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return items;
}

std::string durationText(std::chrono::milliseconds duration)
{
    return absl::FormatDuration(absl::FromChrono(duration));
}

} // namespace

SettingRow nameRow(std::string Settings::*member)
{
    return rowOf("name", "1 to 64 letters, digits, '-', '_' or '.'", [member](std::string_view text, Settings &settings) {
        settings.*member = std::string(text);
        return isName(text);
    });
}

SettingRow addressRow(SocketAddress Settings::*member)
{
    return rowOf("address", "IP:PORT, such as 127.0.0.1:8080 or [::1]:8080", [member](std::string_view text, Settings &settings) {
        const auto address = parseSocketAddress(text);
        settings.*member = address.value_or(SocketAddress{});
        return address.has_value();
    });
}

SettingRow addressListRow(std::vector<SocketAddress> Settings::*member)
{
    return rowOf("address list", "comma list of IP:PORT, may be empty", [member](std::string_view text, Settings &settings) {
        std::vector<SocketAddress> addresses;
        for (const std::string_view it : splitList(text)) {
            const auto address = parseSocketAddress(it);
            if (!address) {
                return false;
            }
            addresses.push_back(*address);
        }
        settings.*member = std::move(addresses);
        return true;
    });
}

SettingRow countRow(std::uint64_t Settings::*member, std::uint64_t lowest, std::uint64_t highest, std::string unit)
{
    SettingRow row = rowOf("whole number", fmt::format("{} to {}", lowest, highest), [=](std::string_view text, Settings &settings) {
        const auto value = parseWhole<std::uint64_t>(text);
        settings.*member = value.value_or(0);
        return value && *value >= lowest && *value <= highest;
    });
    row.unit = std::move(unit);
    return row;
}

SettingRow durationRow(std::chrono::milliseconds Settings::*member, std::chrono::milliseconds lowest, std::chrono::milliseconds highest)
{
    const std::string allowed = fmt::format("{} to {}", durationText(lowest), durationText(highest));
    SettingRow row = rowOf("duration", allowed, [=](std::string_view text, Settings &settings) {
        absl::Duration value;
        if (!absl::ParseDuration(std::string(text), &value)) {
            return false;
        }
        settings.*member = absl::ToChronoMilliseconds(value);
        return settings.*member >= lowest && settings.*member <= highest;
    });
    row.unit = "ms, s, m or h, written with the number";
    return row;
}

SettingRow logLevelRow()
{
    return choiceRow(&Settings::logLevel, LogLevels);
}

SettingRow logFormatRow()
{
    return choiceRow(&Settings::logFormat, LogFormats);
}

SettingRow secretRow(std::string Settings::*member, std::size_t shortest)
{
    const std::string allowed = fmt::format("at least {} characters, or empty", shortest);
    SettingRow row = rowOf("secret", allowed, [member, shortest](std::string_view text, Settings &settings) {
        settings.*member = std::string(text);
        return text.empty() || text.size() >= shortest;
    });
    row.secret = true;
    return row;
}

SettingRow keyHashRow(std::string Settings::*member)
{
    SettingRow row = rowOf("key hash", "SALT:HASH as `auburndrum key hash` prints it, or empty", [member](std::string_view text, Settings &settings) {
        settings.*member = std::string(text);
        return text.empty() || isApiKeyHash(text);
    });
    row.secret = true;
    return row;
}

} // namespace auburndrum
