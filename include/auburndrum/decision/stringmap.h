#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// Hash for maps with std::string keys that are looked up by std::string_view, which Debian's Abseil can't hash.
struct StringHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming): the standard's name

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

/// Hash map with string keys, looked up by std::string_view without a copy.
template<typename Value>
using StringMap = absl::flat_hash_map<std::string, Value, StringHash, std::equal_to<>>;

} // namespace auburndrum::decision
