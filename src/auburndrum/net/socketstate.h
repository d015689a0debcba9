#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace auburndrum::net {

/// Whether the peer of a connected TCP socket has closed its side or reset the connection, also while bytes before that are unread.
bool hasPeerClosed(int descriptor);

/// Time since bytes last arrived on a connected TCP socket, whether they were read or not; empty where the system doesn't tell.
std::optional<std::chrono::milliseconds> sinceLastReceived(int descriptor);

/// Number of bytes that have arrived on a TCP socket and were not read; 0 where the system doesn't tell.
std::int64_t unreadBytes(int descriptor);

/// Number of bytes that were written to a TCP socket and that the peer has not acknowledged; empty where the system doesn't tell.
std::optional<std::int64_t> unacknowledgedBytes(int descriptor);

} // namespace auburndrum::net
