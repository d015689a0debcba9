#include "auburndrum/base/randomid.h"

#include <absl/random/random.h>
#include <absl/strings/str_format.h>

#include <cstdint>

namespace auburndrum {

std::string randomId()
{
    thread_local absl::BitGen generator;
    const auto high = absl::Uniform<std::uint64_t>(generator);
    const auto low = absl::Uniform<std::uint64_t>(generator);
    return absl::StrFormat("%016x%016x", high, low);
}

} // namespace auburndrum
