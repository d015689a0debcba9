#include "auburndrum/net/address.h"

#include <algorithm>
#include <charconv>

namespace auburndrum::net {

namespace {

/// Whether the text has only characters of numeric addresses: no blanks, line ends, zone names.
bool isNumericHost(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char it) {
        return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f') || (it >= 'A' && it <= 'F') || it == ':' || it == '.';
    });
}

std::optional<quint16> parsePort(std::string_view text)
{
    quint16 port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    return ec == std::errc() && end == text.data() + text.size() ? std::optional(port) : std::nullopt;
}

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isNumericHost(text.substr(0, colon))) {
        return std::nullopt;
    }
    const auto port = parsePort(text.substr(colon + 1));
    QHostAddress host;
    if (!port || !host.setAddress(QString::fromUtf8(text.data(), static_cast<qsizetype>(colon)))) {
        return std::nullopt;
    }
    // Short and octal forms of an IPv4 address mean different hosts to different readers.
    const bool isUsualForm = host.protocol() != QAbstractSocket::IPv4Protocol || host.toString().toStdString() == text.substr(0, colon);
    return isUsualForm ? std::optional(Address{host, *port}) : std::nullopt;
}

std::string toText(const Address &address)
{
    return address.host.toString().toStdString() + ":" + std::to_string(address.port);
}

} // namespace auburndrum::net
