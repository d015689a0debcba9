#pragma once

#include "auburndrum/decision/traffic/prompt.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Name of the scope within which cached prompt parts may be shared: one weight version of a model, and one organisation when it shares with no other.
std::string cacheScope(std::string_view model, std::uint64_t weightVersion, std::string_view organisation);

/// The weight version that a scope of this model names; nothing for scopes of other models or in another format.
std::optional<std::uint64_t> weightVersionOfScope(std::string_view scope, std::string_view model);

/// Key of a prompt part within a scope, for hash maps.
std::uint64_t partKey(std::string_view scope, std::string_view part);

/// The keys of a prompt's parts, in prompt order.
std::vector<std::uint64_t> partKeys(std::string_view scope, const Prompt &prompt);

} // namespace auburndrum::decision
