#pragma once

#include "auburndrum/net/address.h"

#include <QByteArray>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace auburndrum::gateway {

/// A caller of a test on a plain socket: what it sends and how it leaves happens at once, whatever the event loop does.
class RawCaller
{
public:
    explicit RawCaller(const net::Address &gateway)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(gateway.port);
        address.sin_addr.s_addr = htonl(gateway.host.toIPv4Address());
        m_isConnected = ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }
    ~RawCaller()
    {
        close();
    }

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    bool isConnected() const
    {
        return m_isConnected;
    }
    /// Sends as many of the bytes as the system takes without waiting; returns their number.
    qsizetype send(const QByteArray &bytes)
    {
        return std::max<qsizetype>(0, ::send(m_descriptor, bytes.constData(), static_cast<std::size_t>(bytes.size()), MSG_NOSIGNAL | MSG_DONTWAIT));
    }
    /// All that has arrived and was not read yet.
    QByteArray readAll()
    {
        QByteArray all;
        QByteArray buf(65536, '\0');
        for (ssize_t n = ::recv(m_descriptor, buf.data(), 65536, MSG_DONTWAIT); n > 0; n = ::recv(m_descriptor, buf.data(), 65536, MSG_DONTWAIT)) {
            all += buf.left(n);
        }
        return all;
    }
    /// Whether the gateway has closed or reset the connection, and all that came before was read.
    bool hasEnded() const
    {
        char byte = 0;
        const ssize_t n = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
    }
    /// Limits what the system holds for this caller until it is read.
    void setReceiveBuffer(int bytes)
    {
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    void close()
    {
        if (m_descriptor >= 0) {
            ::close(std::exchange(m_descriptor, -1));
        }
    }
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    void closeSending()
    {
        ::shutdown(m_descriptor, SHUT_WR);
    }

private:
    int m_descriptor;
    bool m_isConnected = false;
};

/// A request as GatewayFixture's gateway reads it.
inline QByteArray requestText(const QByteArray &target, const QByteArray &body, const QByteArray &id = "request-1")
{
    return "POST " + target + " HTTP/1.1\r\nHost: host\r\nId: " + id + "\r\nKey: key\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

} // namespace auburndrum::gateway
