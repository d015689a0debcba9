#include "auburndrum/base/jsonreader.h"

namespace auburndrum {

using nlohmann::json;

std::size_t jsonDepth(const char *text, std::size_t size)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool isInText = false;
    for (std::size_t n = 0; n < size; ++n) {
        const char it = text[n];
        if (isInText) {
            n += it == '\\' ? 1 : 0;
            isInText = it != '"';
            continue;
        }
        if (it == '"') {
            isInText = true;
        } else if (it == '[' || it == '{') {
            deepest = std::max(deepest, ++depth);
        } else if ((it == ']' || it == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

json parseJson(std::string_view text)
{
    if (jsonDepth(text.data(), text.size()) > MaxJsonDepth) {
        throw json::other_error::create(501, "the text is nested deeper than " + std::to_string(MaxJsonDepth) + " levels", nullptr);
    }
    return json::parse(text);
}

json parseJsonOrDiscard(std::string_view text)
{
    return jsonDepth(text.data(), text.size()) > MaxJsonDepth ? json(json::value_t::discarded) : json::parse(text, nullptr, false);
}

const json &listIn(const json &object, const char *field)
{
    static const json none = json::array();
    if (!object.contains(field)) {
        return none;
    }
    const json &list = object.at(field);
    if (!list.is_array()) {
        throw json::type_error::create(302, std::string("field \"") + field + "\" is no list but " + list.type_name(), nullptr);
    }
    return list;
}

void throwOutOfRange(const json &value)
{
    constexpr std::size_t MaxShownBytes = 40;
    const std::string text = value.is_structured() ? std::string("a ") + value.type_name() : value.dump(-1, ' ', true, json::error_handler_t::replace);
    throw json::out_of_range::create(401, text.substr(0, MaxShownBytes) + " is no number in range", nullptr);
}

double numberFrom(const json &value)
{
    const double number = value.is_number() ? value.get<double>() : -1;
    if (!std::isfinite(number) || number < 0) {
        throwOutOfRange(value);
    }
    return number;
}

double numberIn(const json &object, const char *field, double fallback)
{
    return object.contains(field) ? numberFrom(object.at(field)) : fallback;
}

std::chrono::milliseconds timeFrom(const json &value)
{
    const double number = numberFrom(value);
    if (number > static_cast<double>(MaxJsonTime.count())) {
        throwOutOfRange(value);
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(number));
}

std::chrono::milliseconds timeIn(const json &object, const char *field, std::chrono::milliseconds fallback)
{
    return object.contains(field) ? timeFrom(object.at(field)) : fallback;
}

std::chrono::milliseconds unixTimeFrom(const json &value)
{
    constexpr std::chrono::milliseconds Latest = std::chrono::years(150);
    const std::chrono::milliseconds time(integerFrom<std::int64_t>(value));
    if (time.count() < 0 || time > Latest) {
        throwOutOfRange(value);
    }
    return time;
}

} // namespace auburndrum
