#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace auburndrum::standins {

/// Bytes of prompt text that count as one token.
constexpr std::uint64_t BytesPerToken = 4;

/// Returns how many tokens the prompt has.
std::uint64_t promptTokens(std::string_view prompt);

/// Returns 16 hex digits that stand for the prompt in its answer's tokens.
std::string promptHash(std::string_view prompt);

/// Returns the text of one token of the answer: the same prompt always gets the same text.
std::string tokenText(std::string_view promptHash, std::uint32_t index);

/// Returns the whole text of an answer of this many tokens.
std::string answerText(std::string_view promptHash, std::uint32_t tokens);

/// Returns the bytes that the engine exports for one cache piece; they follow from their arguments.
std::string kvBlockBytes(std::string_view organisation, std::string_view version, std::string_view key, std::uint64_t length);

} // namespace auburndrum::standins
