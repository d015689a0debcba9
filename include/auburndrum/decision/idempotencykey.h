#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/logrecord.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// Longest key that callers may send, in bytes.
constexpr std::size_t MaxIdempotencyKeyBytes = 200;

/// How far callers' clocks may be ahead of the log's.
constexpr std::chrono::minutes MaxCallerClockSkew{5};

/// Bodies up to this many bytes are recorded whole, others by their digest.
constexpr std::size_t MaxRecordedBodyBytes = 4096;

/// The time within a UUIDv7; none for any other key.
std::optional<WallTime> uuidV7Timestamp(std::string_view key);

/// Whether a key with a time in it is older than the window, so that its record may be gone.
/// Take the later of the log's time and this VM's as now.
bool isKeyExpired(std::string_view key, std::chrono::milliseconds window, WallTime now);

/// SHA-256 of a body, in hex.
std::string bodyDigest(std::string_view body);

/// The outcome of a claim, with the body or, when it is large or not UTF-8, its digest.
Outcome makeOutcome(const Claim &claim, std::uint32_t status, std::string contentType, std::string body);

} // namespace auburndrum::decision
