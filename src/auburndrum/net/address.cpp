#include "auburndrum/net/address.h"

#include <absl/strings/numbers.h>

namespace auburndrum::net {

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view portText = text.substr(colon + 1);
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(absl::string_view(portText.data(), portText.size()), &port) || port > 65535) {
        return std::nullopt;
    }
    QHostAddress host;
    if (!host.setAddress(QString::fromUtf8(text.data(), static_cast<qsizetype>(colon)))) {
        return std::nullopt;
    }
    return Address{host, static_cast<quint16>(port)};
}

std::string toText(const Address &address)
{
    return address.host.toString().toStdString() + ":" + std::to_string(address.port);
}

} // namespace auburndrum::net
