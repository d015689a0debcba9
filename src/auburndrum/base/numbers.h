#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace auburndrum {

/// Parses the complete text as a number of type T. Returns nothing when it is malformed or out of range.
template<class T>
std::optional<T> parseWhole(std::string_view text)
{
    T value{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace auburndrum
