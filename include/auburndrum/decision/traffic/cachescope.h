#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// Names the scope within which cached prompt parts may be shared: one model's weights, and one organisation when it shares with no other.
std::string cacheScope(std::string_view model, std::uint64_t weights, std::string_view organisation);

/// The weight version in a scope of this model; nothing for scopes of other models or other writers.
std::optional<std::uint64_t> weightVersionOfScope(std::string_view scope, std::string_view model);

} // namespace auburndrum::decision
