#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace auburndrum::tests {

/// JSON values, and texts that are none, which another writer may put in the place of any value.
inline std::vector<std::string> oddValues()
{
    constexpr std::size_t Deep = 60'000; // more than a recursive function survives
    return {std::string(Deep, '[') + std::string(Deep, ']'),
            std::string(Deep, '['),
            "1e400",
            "1e300",
            "-1e300",
            "1e30",
            "18446744073709551616",
            "18446744073709551615",
            "9223372036854775808",
            "4294967296",
            "-1",
            "-9223372036854775808",
            "0.5",
            "null",
            "true",
            "{}",
            "[]",
            "[[]]",
            "\"\"",
            "\"\\u0000\\r\\nX: y\"",
            "\"\xff\xfe\"",
            "\"" + std::string(100'000, 'x') + "\"",
            "nan",
            ""};
}

/// Begin and end of each value in a text that holds valid JSON: of its numbers, literals, strings, lists and objects.
inline std::vector<std::pair<std::size_t, std::size_t>> valuesIn(const std::string &json)
{
    std::vector<std::pair<std::size_t, std::size_t>> values;
    std::vector<std::size_t> open;
    for (std::size_t n = 0; n < json.size(); ++n) {
        const char it = json[n];
        if (it == '[' || it == '{') {
            open.push_back(n);
        } else if ((it == ']' || it == '}') && !open.empty()) {
            values.emplace_back(open.back(), n + 1);
            open.pop_back();
        } else if (it == '"') {
            const std::size_t end = std::min(json.find('"', n + 1), json.size() - 1) + 1; // the samples escape no quotes
            if (end >= json.size() || json[end] != ':') {
                values.emplace_back(n, end);
            }
            n = end - 1;
        } else if (it == '-' || std::isalnum(static_cast<unsigned char>(it)) != 0) {
            const std::size_t end = std::min(json.find_first_of(",]}", n), json.size());
            values.emplace_back(n, end);
            n = end - 1;
        }
    }
    return values;
}

/// The text with each of its values replaced by each odd value in turn.
inline std::vector<std::string> withOddValues(const std::string &json)
{
    std::vector<std::string> texts;
    for (const auto &[begin, end] : valuesIn(json)) {
        for (const std::string &odd : oddValues()) {
            texts.push_back(json.substr(0, begin) + odd + json.substr(end));
        }
    }
    return texts;
}

/// The text with some of its bytes changed, removed, repeated or cut off.
inline std::string mutated(std::string text, std::mt19937 &random)
{
    const auto pick = [&random](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n == 0 ? 0 : n - 1)(random);
    };
    for (std::size_t n = pick(4) + 1; n > 0 && !text.empty(); --n) {
        const std::size_t at = pick(text.size());
        switch (pick(4)) {
        case 0:
            text[at] = static_cast<char>(pick(256));
            break;
        case 1:
            text.erase(at, pick(20) + 1);
            break;
        case 2:
            text.insert(at, text.substr(pick(text.size()), pick(20)));
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

} // namespace auburndrum::tests
