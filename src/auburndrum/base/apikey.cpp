#include "auburndrum/base/apikey.h"

#include "auburndrum/base/randomid.h"

#include <fmt/format.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace auburndrum {

namespace {

constexpr std::size_t HashHexDigits = 2UL * SHA256_DIGEST_LENGTH;
constexpr std::size_t LongestSaltCharacters = 64;

bool isHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return fmt::format("{:02x}", fmt::join(digest, ""));
}

} // namespace

std::string hashApiKey(std::string_view key)
{
    return hashApiKey(randomId(), key);
}

std::string hashApiKey(std::string_view salt, std::string_view key)
{
    return fmt::format("{}:{}", salt, sha256Hex(fmt::format("{}{}", salt, key)));
}

bool isApiKeyHash(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || colon == 0 || colon > LongestSaltCharacters) {
        return false;
    }
    const std::string_view hash = text.substr(colon + 1);
    return isHex(text.substr(0, colon)) && hash.size() == HashHexDigits && isHex(hash);
}

bool matchesApiKey(std::string_view key, std::string_view saltAndHash)
{
    if (!isApiKeyHash(saltAndHash)) {
        return false;
    }
    const std::string computed = hashApiKey(saltAndHash.substr(0, saltAndHash.find(':')), key);
    return CRYPTO_memcmp(computed.data(), saltAndHash.data(), computed.size()) == 0;
}

bool matchesAnyApiKey(std::string_view key, const std::vector<std::string> &hashes)
{
    bool matched = false;
    for (const std::string &it : hashes) {
        matched |= matchesApiKey(key, it);
    }
    return matched;
}

} // namespace auburndrum
