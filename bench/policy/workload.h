#pragma once

#include "auburndrum/decision/piecekey.h"
#include "eventloop.h"
#include "profile.h"

#include <absl/random/bit_gen_ref.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace auburndrum::bench {

constexpr std::uint32_t PieceTokens = 2000;

/// One prompt that returns.
struct Context
{
    std::uint32_t id = 0;
    std::uint32_t organisation = 0;
    std::uint32_t tokens = 0;
    std::uint32_t zone = 0; ///< where its callers usually are
    double meanGapSeconds = 0;
};

/// Contexts of one user with skewed return rates; their sum is the user's request rate times @p load.
std::vector<Context> makeContexts(const Profile &profile, double load, absl::BitGenRef random);

/// Time until the context's next request.
std::chrono::nanoseconds nextGap(const Context &context, absl::BitGenRef random);

/// Zone through which one request of the context comes in.
std::uint32_t callerZone(const Profile &profile, const Context &context, absl::BitGenRef random);

/// Whole pieces of the context's prompt for a weight version. The first piece is shared by the organisation.
std::vector<decision::PieceKey> contextKeys(const Context &context, std::uint32_t version);

} // namespace auburndrum::bench
