#pragma once

#include "auburndrum/decision/nametable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Prompt bytes that stand for one token where no tokenizer is at hand.
constexpr std::uint32_t BytesPerToken = 4;

/// Names one cache piece: whose it is, for which weights, and the hash of the prompt up to its end.
///
/// Organisation and weight version are fields of their own, so two of them never compare equal across either,
/// even where the hashes collide.
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

/// Organisations and weight versions that keys refer to. Bounded, so that packed keys keep both in 32 bits.
struct KeyNames
{
    static constexpr std::size_t MaxOrganisations = 1U << 20U;
    static constexpr std::size_t MaxVersions = 1U << 12U;

    NameTable organisations{MaxOrganisations};
    NameTable versions{MaxVersions};
};

/// A prompt cut into pieces.
struct PromptPieces
{
    std::vector<PieceKey> keys; ///< whole pieces only, oldest first
    std::uint32_t promptTokens = 0; ///< estimated tokens of the whole prompt
};

/// Cuts @p prompt into pieces of @p pieceTokens tokens and hashes each with all before it.
///
/// Returns no keys, which means no reuse, when @p names can hold no further organisation or version.
PromptPieces splitPrompt(KeyNames &names, std::string_view organisation, std::string_view version, std::string_view prompt, std::uint32_t pieceTokens);

/// Writes a key as ORGANISATION:VERSION:HASH, names percent-encoded: safe in a comma list in an HTTP header.
std::string toText(const KeyNames &names, const PieceKey &key);

/// Writes keys as a comma list, oldest first.
std::string toText(const KeyNames &names, const std::vector<PieceKey> &keys);

/// Reads a key as written by toText(); nothing when malformed or when @p names is full.
std::optional<PieceKey> parsePieceKey(KeyNames &names, std::string_view text);

} // namespace auburndrum::decision
