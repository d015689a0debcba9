#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace auburndrum {

/// Reads the whole text as one number of type T. Returns nothing when it isn't one or doesn't fit.
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
