#include "documentfield.h"

#include "auburndrum/base/apikey.h"

namespace auburndrum::decision {

namespace {

constexpr std::size_t MaxDescribedBytes = 60;
constexpr std::size_t MaxModelCharacters = 128;
constexpr std::size_t MaxPathCharacters = 256;

constexpr std::string_view NameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-";
constexpr std::string_view PathCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._~%/-";
constexpr std::string_view ModelCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:@";

bool consistsOf(std::string_view text, std::string_view characters, std::size_t longest)
{
    return !text.empty() && text.size() <= longest && text.find_first_not_of(characters) == std::string_view::npos;
}

} // namespace

std::string describe(const Json &value)
{
    if (value.is_array()) {
        return fmt::format("list of {}", value.size());
    }
    if (value.is_object()) {
        return "object";
    }
    std::string text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
    if (text.size() > MaxDescribedBytes) {
        text.resize(MaxDescribedBytes);
        text += "...";
    }
    return text;
}

void addError(DocumentErrors &errors, const std::string &path, const Json &value, std::string_view allowed)
{
    errors.push_back({path, fmt::format("given {}, allowed: {}", describe(value), allowed)});
}

TextRule nameRule()
{
    return {"^[A-Za-z0-9_-]{1,64}$", "1 to 64 letters, digits, '_' or '-'", isDocumentName};
}

TextRule modelRule()
{
    const auto accepts = [](std::string_view text) {
        return consistsOf(text, ModelCharacters, MaxModelCharacters);
    };
    return {"^[A-Za-z0-9._/:@-]{1,128}$", "1 to 128 letters, digits, '.', '_', '-', '/', ':' or '@'", accepts};
}

TextRule pathRule()
{
    const auto accepts = [](std::string_view text) {
        return text.starts_with('/') && (text.size() == 1 || consistsOf(text.substr(1), PathCharacters, MaxPathCharacters - 1));
    };
    return {"^/[A-Za-z0-9._~%/-]{0,255}$", "absolute URL path of at most 256 characters, without a query", accepts};
}

TextRule keyHashRule()
{
    return {"^[0-9a-f]{1,64}:[0-9a-f]{64}$", "SALT:HASH as `auburndrum key hash` prints it", isApiKeyHash};
}

TextRule orEmpty(TextRule rule)
{
    rule.pattern = "^$|" + rule.pattern;
    rule.allowed += ", or empty";
    rule.accepts = [accepts = std::move(rule.accepts)](std::string_view text) {
        return text.empty() || accepts(text);
    };
    return rule;
}

bool isDocumentName(std::string_view text)
{
    constexpr std::size_t MaxNameCharacters = 64;
    return consistsOf(text, NameCharacters, MaxNameCharacters);
}

} // namespace auburndrum::decision
