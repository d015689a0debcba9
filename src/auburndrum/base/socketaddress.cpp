#include "auburndrum/base/socketaddress.h"

#include "numbers.h"

#include <fmt/format.h>

#include <arpa/inet.h>

namespace auburndrum {

namespace {

bool isNumeric(int family, const std::string &ip)
{
    in6_addr buf{};
    return inet_pton(family, ip.c_str(), &buf) == 1;
}

bool isIpv6(std::string_view ip)
{
    return ip.find(':') != std::string_view::npos;
}

} // namespace

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    SocketAddress address;
    address.ip = std::string(host);
    if (!isNumeric(bracketed ? AF_INET6 : AF_INET, address.ip)) {
        return std::nullopt;
    }
    const auto port = parseWhole<std::uint16_t>(text.substr(colon + 1));
    if (!port) {
        return std::nullopt;
    }
    address.port = *port;
    return address;
}

std::string toText(const SocketAddress &address)
{
    if (isIpv6(address.ip)) {
        return fmt::format("[{}]:{}", address.ip, address.port);
    }
    return fmt::format("{}:{}", address.ip, address.port);
}

bool isLoopback(const SocketAddress &address)
{
    return address.ip == "::1" || address.ip.starts_with("127.");
}

} // namespace auburndrum
