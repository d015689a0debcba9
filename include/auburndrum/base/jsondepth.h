#pragma once

#include <cstddef>

// Plain C++14: also for the source that the headers of the JSON-RPC library bind to it.

namespace auburndrum {

/// Deepest nesting of JSON from outside this process. Copying, comparing and writing a value recurse once a level.
constexpr std::size_t MaxJsonDepth = 64;

/// Deepest nesting of lists and objects in a text, whether it is valid or not.
std::size_t jsonDepth(const char *text, std::size_t size);

} // namespace auburndrum
