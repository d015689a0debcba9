#include "auburndrum/decision/idempotencykey.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <utility>

namespace auburndrum::decision {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionAt = 14;

bool isUuid(std::string_view key)
{
    if (key.size() != UuidLength) {
        return false;
    }
    for (std::size_t it = 0; it < key.size(); ++it) {
        const bool isDash = it == 8 || it == 13 || it == 18 || it == 23;
        const bool isHex = std::string_view("0123456789abcdefABCDEF").find(key[it]) != std::string_view::npos;
        if (isDash ? key[it] != '-' : !isHex) {
            return false;
        }
    }
    return true;
}

bool isUtf8(const std::string &text)
{
    try {
        static_cast<void>(nlohmann::json(text).dump());
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

} // namespace

std::optional<WallTime> uuidV7Timestamp(std::string_view key)
{
    if (!isUuid(key) || key[UuidVersionAt] != '7') {
        return std::nullopt;
    }
    const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    std::int64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, 16);
    return WallTime(std::chrono::milliseconds(milliseconds));
}

bool isKeyExpired(std::string_view key, std::chrono::milliseconds window, WallTime now)
{
    const std::optional<WallTime> made = uuidV7Timestamp(key);
    return made && *made + window - MaxCallerClockSkew <= now;
}

std::string bodyDigest(std::string_view body)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    EVP_Digest(body.data(), body.size(), buf.data(), &n, EVP_sha256(), nullptr);
    return absl::BytesToHexString({reinterpret_cast<const char *>(buf.data()), n});
}

Outcome makeOutcome(const Claim &claim, std::uint32_t status, std::string contentType, std::string body)
{
    Outcome outcome{claim.key, claim.nonce, status, std::move(contentType), "", "", OutcomeSource::Answer};
    if (body.size() > MaxRecordedBodyBytes || !isUtf8(body)) {
        outcome.digest = bodyDigest(body);
        return outcome;
    }
    outcome.body = std::move(body);
    return outcome;
}

} // namespace auburndrum::decision
