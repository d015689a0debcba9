#include "socketstate.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace auburndrum::net {

bool hasPeerClosed(int descriptor)
{
    pollfd it{descriptor, POLLIN | POLLRDHUP, 0};
    if (::poll(&it, 1, 0) <= 0) {
        return false;
    }
    if ((it.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0) {
        return true;
    }
    char byte = 0;
    const ssize_t n = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

std::optional<std::chrono::milliseconds> sinceLastReceived(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state == 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

std::int64_t unreadBytes(int descriptor)
{
    int n = 0;
    return ::ioctl(descriptor, FIONREAD, &n) == 0 ? n : 0;
}

std::optional<std::int64_t> unacknowledgedBytes(int descriptor)
{
    int n = 0;
    return ::ioctl(descriptor, SIOCOUTQ, &n) == 0 ? std::optional<std::int64_t>(n) : std::nullopt;
}

} // namespace auburndrum::net
