#pragma once

#include <QHostAddress>
#include <QString>

#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::net {

/// An IP address and a TCP port.
struct Address
{
    QHostAddress host;
    quint16 port = 0;

    bool operator==(const Address &other) const = default;
};

/// Parses "IP:PORT"; returns std::nullopt when the IP address or the port is malformed.
std::optional<Address> parseAddress(std::string_view text);

/// Formats the address as "IP:PORT".
std::string toText(const Address &address);

} // namespace auburndrum::net
