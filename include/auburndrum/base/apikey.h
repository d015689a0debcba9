#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace auburndrum {

/// Hashes an API key with a fresh random salt. Returns "SALT:HASH", both lower-case hex, HASH = SHA-256(salt text, then key).
std::string hashApiKey(std::string_view key);

/// Hashes an API key with the given salt.
std::string hashApiKey(std::string_view salt, std::string_view key);

/// Whether the text has the form that hashApiKey() returns.
bool isApiKeyHash(std::string_view text);

/// Compares in constant time whether `key` has this hash. A malformed hash matches nothing.
bool matchesApiKey(std::string_view key, std::string_view saltAndHash);

/// Whether any of the hashes matches. Always checks all of them, so that the time doesn't tell which one matched.
bool matchesAnyApiKey(std::string_view key, const std::vector<std::string> &hashes);

} // namespace auburndrum
