#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/logrecord.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// Longest Idempotency-Key that callers may send, in bytes.
constexpr std::size_t MaxIdempotencyKeyBytes = 200;

/// How far the clocks of callers may be ahead of the log's clock.
constexpr std::chrono::minutes MaxCallerClockSkew{5};

/// Largest response body that is recorded completely, in bytes. Of larger bodies only the digest is recorded.
constexpr std::size_t MaxRecordedBodyBytes = 4096;

/// The timestamp in a key that is a UUIDv7; none for any other key.
std::optional<WallTime> uuidV7Timestamp(std::string_view key);

/// Whether a UUIDv7 key is older than the deduplication window, so that its claim may have been removed. Always false for other keys.
/// @p now is the later of the log's time and this VM's time.
bool isKeyExpired(std::string_view key, std::chrono::milliseconds window, WallTime now);

/// SHA-256 of a body, in hex.
std::string bodyDigest(std::string_view body);

/// Makes the outcome of a claim from a response. A body that is too large or not UTF-8 is replaced by its digest.
Outcome makeOutcome(const Claim &claim, std::uint32_t status, std::string contentType, std::string body);

} // namespace auburndrum::decision
