#pragma once

#include "auburndrum/base/jsondepth.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

namespace auburndrum {

/// Longest time that is read from JSON; ten years in nanoseconds, twice over, still fit into 64 bits.
constexpr std::chrono::milliseconds MaxJsonTime = std::chrono::hours(24 * 365 * 10);

/// @{ Parse JSON from outside this process. Text that is malformed or nested deeper than MaxJsonDepth throws nlohmann::json::exception, or gives a discarded
/// value.
nlohmann::json parseJson(std::string_view text);
nlohmann::json parseJsonOrDiscard(std::string_view text);
/// @}

/// The elements of a list, or none when the field is absent. Throws nlohmann::json::exception when it is no list.
const nlohmann::json &listIn(const nlohmann::json &object, const char *field);

/// A finite number, not negative. Throws nlohmann::json::exception otherwise.
double numberFrom(const nlohmann::json &value);
double numberIn(const nlohmann::json &object, const char *field, double fallback);

/// A number of milliseconds from 0 to MaxJsonTime, fractions cut off. Throws nlohmann::json::exception otherwise.
std::chrono::milliseconds timeFrom(const nlohmann::json &value);
std::chrono::milliseconds timeIn(const nlohmann::json &object, const char *field, std::chrono::milliseconds fallback);

/// A moment in milliseconds since 1970, from then until a century ahead. Throws nlohmann::json::exception otherwise.
std::chrono::milliseconds unixTimeFrom(const nlohmann::json &value);

/// Throws the nlohmann::json::exception that names a value out of range.
[[noreturn]] void throwOutOfRange(const nlohmann::json &value);

/// A whole number that fits into T; also one written as 3.0. Throws nlohmann::json::exception otherwise.
template<std::integral T>
T integerFrom(const nlohmann::json &value)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (std::in_range<T>(number)) {
            return static_cast<T>(number);
        }
    } else if (value.is_number_integer()) {
        const auto number = value.get<std::int64_t>();
        if (std::in_range<T>(number)) {
            return static_cast<T>(number);
        }
    } else if (value.is_number_float()) {
        const double number = value.get<double>();
        // The bound is a power of 2, which a double holds exactly, unlike the largest T.
        const bool isInRange = number >= static_cast<double>(std::numeric_limits<T>::min()) && number < std::ldexp(1.0, std::numeric_limits<T>::digits);
        if (isInRange && std::trunc(number) == number) {
            return static_cast<T>(number);
        }
    }
    throwOutOfRange(value);
}

/// The same for a field; `fallback` when it is absent.
template<std::integral T>
T integerIn(const nlohmann::json &object, const char *field, T fallback)
{
    return object.contains(field) ? integerFrom<T>(object.at(field)) : fallback;
}

} // namespace auburndrum
