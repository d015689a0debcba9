#pragma once

#include <QHostAddress>
#include <QString>

#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::net {

/// An IP number and a TCP port.
struct Address
{
    QHostAddress host;
    quint16 port = 0;

    bool operator==(const Address &other) const = default;
};

/// Reads "IP:PORT"; nothing when either half is malformed.
std::optional<Address> parseAddress(std::string_view text);

/// Writes "IP:PORT".
std::string toText(const Address &address);

} // namespace auburndrum::net
