#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum {

/// A numeric IP address and a TCP port.
struct SocketAddress
{
    std::string ip; ///< IPv4 or IPv6, without brackets
    std::uint16_t port = 0; ///< 0 asks the kernel for a free port

    bool operator==(const SocketAddress &) const = default;
};

/// Reads "127.0.0.1:8080" or "[::1]:8080". Host names are refused. Returns nothing when malformed.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/// Writes the form that parseSocketAddress() reads.
std::string toText(const SocketAddress &address);

/// Whether only processes on the same VM can reach the address.
bool isLoopback(const SocketAddress &address);

} // namespace auburndrum
