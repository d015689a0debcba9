#pragma once

#include "auburndrum/decision/piecekey.h"

#include <array>

namespace auburndrum::decision {

/// A PieceKey in 16 bytes for large tables: organisation (20 bits), version (12 bits) and 96 bits of hash.
struct PackedKey
{
    std::array<std::uint32_t, 4> words{};

    friend bool operator==(const PackedKey &, const PackedKey &) = default;
};

/// Packs @p key. KeyNames is bounded by the same numbers of bits, so that the ids always fit.
inline PackedKey pack(const PieceKey &key)
{
    constexpr unsigned VersionBits = 12;
    constexpr unsigned WordBits = 32;
    const std::uint32_t owner = key.organisation << VersionBits | key.version;
    return {{owner, static_cast<std::uint32_t>(key.hashHigh), static_cast<std::uint32_t>(key.hashLow >> WordBits), static_cast<std::uint32_t>(key.hashLow)}};
}

/// Hash of a packed key: its hash bits are uniform already; organisation and version are mixed in.
struct PackedKeyHash
{
    std::size_t operator()(const PackedKey &key) const
    {
        constexpr std::uint64_t Mix = 0x9E3779B97F4A7C15U;
        const std::uint64_t hash = std::uint64_t{key.words[2]} << 32U | key.words[3];
        return hash ^ (key.words[0] * Mix);
    }
};

} // namespace auburndrum::decision
