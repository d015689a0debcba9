#pragma once

#include <string>

namespace auburndrum {

/// Returns a new random id: 128 bits in 32 lower-case hex digits.
std::string randomId();

} // namespace auburndrum
