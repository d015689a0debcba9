#include "auburndrum/decision/traffic/cachescope.h"

#include <absl/strings/numbers.h>
#include <xxhash.h>

namespace auburndrum::decision {

namespace {

constexpr char Separator = '|';

} // namespace

std::string cacheScope(std::string_view model, std::uint64_t weightVersion, std::string_view organisation)
{
    std::string scope(model);
    scope += Separator;
    scope += std::to_string(weightVersion);
    scope += Separator;
    scope += organisation;
    return scope;
}

std::uint64_t partKey(std::string_view scope, std::string_view part)
{
    return XXH3_64bits_withSeed(part.data(), part.size(), XXH3_64bits(scope.data(), scope.size()));
}

std::vector<std::uint64_t> partKeys(std::string_view scope, const Prompt &prompt)
{
    std::vector<std::uint64_t> keys;
    keys.reserve(prompt.parts.size());
    for (const PromptPart &it : prompt.parts) {
        keys.push_back(partKey(scope, it.id));
    }
    return keys;
}

std::optional<std::uint64_t> weightVersionOfScope(std::string_view scope, std::string_view model)
{
    if (!scope.starts_with(model) || scope.size() <= model.size() || scope[model.size()] != Separator) {
        return std::nullopt;
    }
    const std::string_view rest = scope.substr(model.size() + 1);
    const std::string digits(rest.substr(0, rest.find(Separator)));
    std::uint64_t version = 0;
    return absl::SimpleAtoi(digits, &version) ? std::optional(version) : std::nullopt;
}

} // namespace auburndrum::decision
