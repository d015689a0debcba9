#pragma once

#include "auburndrum/decision/nametable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Prompt bytes counted as one token, since this process has no tokenizer.
constexpr std::uint32_t BytesPerToken = 4;

/// Identifies a cached prompt piece by organisation, weight version and the hash of the prompt up to its end.
///
/// Organisation and weight version are separate fields, so that keys of different organisations or weight versions never
/// compare equal, even when their hashes collide.
struct PieceKey
{
    NameId organisation = 0;
    NameId version = 0;
    std::uint64_t hashHigh = 0;
    std::uint64_t hashLow = 0;

    friend bool operator==(const PieceKey &, const PieceKey &) = default;

    template<typename H>
    friend H AbslHashValue(H h, const PieceKey &key) // NOLINT(readability-identifier-naming): the name that Abseil calls
    {
        return H::combine(std::move(h), key.organisation, key.version, key.hashHigh, key.hashLow);
    }
};

/// Organisations and weight versions that keys refer to. Bounded, so that a packed key holds both ids in 32 bits.
struct KeyNames
{
    static constexpr std::size_t MaxOrganisations = 1U << 20U;
    static constexpr std::size_t MaxVersions = 1U << 12U;

    NameTable organisations{MaxOrganisations};
    NameTable versions{MaxVersions};
};

/// A prompt split into pieces.
struct PromptPieces
{
    std::vector<PieceKey> keys; ///< complete pieces only, in prompt order
    std::uint32_t promptTokens = 0; ///< estimated tokens of the complete prompt
};

/// Splits @p prompt into pieces of @p pieceTokens tokens and hashes each together with the text before it.
///
/// Returns no keys, so that no cached piece is reused, when @p names is full.
PromptPieces splitPrompt(KeyNames &names, std::string_view organisation, std::string_view version, std::string_view prompt, std::uint32_t pieceTokens);

/// Formats a key as ORGANISATION:VERSION:HASH with percent-encoded names, safe in a comma-separated HTTP header.
std::string toText(const KeyNames &names, const PieceKey &key);

/// Formats keys as a comma-separated list, in prompt order.
std::string toText(const KeyNames &names, const std::vector<PieceKey> &keys);

/// Parses a key formatted by toText(); nothing when malformed or when @p names is full.
std::optional<PieceKey> parsePieceKey(KeyNames &names, std::string_view text);

} // namespace auburndrum::decision
