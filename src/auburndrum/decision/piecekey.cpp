#include "auburndrum/decision/piecekey.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace auburndrum::decision {

namespace {

constexpr std::size_t HashDigits = 32;

XXH128_hash_t hashRoot(std::string_view organisation, std::string_view version)
{
    // The length makes the roots of "ab"+"c" and "a"+"bc" differ.
    const std::string root = std::to_string(organisation.size()).append(":").append(organisation).append(version);
    return XXH3_128bits(root.data(), root.size());
}

XXH128_hash_t hashNext(const XXH128_hash_t &previous, std::string_view text)
{
    const XXH128_hash_t own = XXH3_128bits(text.data(), text.size());
    const XXH128_hash_t both[2] = {previous, own};
    return XXH3_128bits(static_cast<const void *>(both), sizeof(both));
}

bool isUnescaped(char c)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
}

std::string percentEncode(std::string_view name)
{
    std::string text;
    for (const char c : name) {
        if (isUnescaped(c)) {
            text.push_back(c);
            continue;
        }
        absl::StrAppendFormat(&text, "%%%02x", static_cast<unsigned char>(c));
    }
    return text;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string name;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (isUnescaped(text[n])) {
            name.push_back(text[n]);
            continue;
        }
        unsigned code = 0;
        if (text[n] != '%' || n + 2 >= text.size() || !absl::SimpleHexAtoi(std::string(text.substr(n + 1, 2)), &code)) {
            return std::nullopt;
        }
        name.push_back(static_cast<char>(code));
        n += 2;
    }
    return name;
}

} // namespace

PromptPieces splitPrompt(KeyNames &names, std::string_view organisation, std::string_view version, std::string_view prompt, std::uint32_t pieceTokens)
{
    PromptPieces pieces;
    pieces.promptTokens = static_cast<std::uint32_t>((prompt.size() + BytesPerToken - 1) / BytesPerToken);
    const auto organisationId = names.organisations.add(organisation);
    const auto versionId = names.versions.add(version);
    const std::size_t pieceBytes = std::size_t{pieceTokens} * BytesPerToken;
    if (!organisationId || !versionId || pieceBytes == 0) {
        return pieces;
    }
    pieces.keys.reserve(prompt.size() / pieceBytes);
    XXH128_hash_t hash = hashRoot(organisation, version);
    for (std::size_t at = 0; at + pieceBytes <= prompt.size(); at += pieceBytes) {
        hash = hashNext(hash, prompt.substr(at, pieceBytes));
        pieces.keys.push_back({*organisationId, *versionId, hash.high64, hash.low64});
    }
    return pieces;
}

std::string toText(const KeyNames &names, const PieceKey &key)
{
    const std::string organisation = percentEncode(names.organisations.name(key.organisation));
    const std::string version = percentEncode(names.versions.name(key.version));
    return absl::StrFormat("%s:%s:%016x%016x", organisation, version, key.hashHigh, key.hashLow);
}

std::string toText(const KeyNames &names, const std::vector<PieceKey> &keys)
{
    std::string text;
    for (const PieceKey &it : keys) {
        absl::StrAppend(&text, text.empty() ? "" : ",", toText(names, it));
    }
    return text;
}

std::optional<PieceKey> parsePieceKey(KeyNames &names, std::string_view text)
{
    const std::vector<std::string> parts = absl::StrSplit(std::string(text), ':');
    if (parts.size() != 3 || parts[2].size() != HashDigits) {
        return std::nullopt;
    }
    const auto organisation = percentDecode(parts[0]);
    const auto version = percentDecode(parts[1]);
    PieceKey key;
    if (!organisation || !version || !absl::SimpleHexAtoi(parts[2].substr(0, HashDigits / 2), &key.hashHigh)
        || !absl::SimpleHexAtoi(parts[2].substr(HashDigits / 2), &key.hashLow)) {
        return std::nullopt;
    }
    const auto organisationId = names.organisations.add(*organisation);
    const auto versionId = names.versions.add(*version);
    if (!organisationId || !versionId) {
        return std::nullopt;
    }
    key.organisation = *organisationId;
    key.version = *versionId;
    return key;
}

} // namespace auburndrum::decision
