#include "standins/engine/tokens.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <xxhash.h>

namespace auburndrum::standins {

std::uint64_t promptTokens(std::string_view prompt)
{
    return (prompt.size() + BytesPerToken - 1) / BytesPerToken;
}

std::string promptHash(std::string_view prompt)
{
    return absl::StrFormat("%016x", XXH3_64bits(prompt.data(), prompt.size()));
}

std::string tokenText(std::string_view promptHash, std::uint32_t index)
{
    return absl::StrCat("t", index, "-", absl::string_view(promptHash.data(), promptHash.size()), " ");
}

std::string answerText(std::string_view promptHash, std::uint32_t tokens)
{
    std::string out;
    for (std::uint32_t n = 0; n < tokens; ++n) {
        out += tokenText(promptHash, n);
    }
    return out;
}

std::string kvBlockBytes(std::string_view organisation, std::string_view version, std::string_view key, std::uint64_t length)
{
    std::string seed;
    for (const std::string_view it : {organisation, version, key}) {
        seed.append(it);
        seed.push_back('\n');
    }
    const std::string unit = promptHash(seed);
    std::string out;
    out.reserve(length + unit.size());
    while (out.size() < length) {
        out += unit;
    }
    out.resize(length);
    return out;
}

} // namespace auburndrum::standins
