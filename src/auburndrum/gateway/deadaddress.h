#pragma once

#include "auburndrum/net/address.h"

#include <doctest/doctest.h>

#include <QByteArray>
#include <QTimer>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <vector>

namespace auburndrum::gateway {

/// An address at which connections hang, are refused, or are reset once they are open.
class DeadAddress
{
public:
    enum class Kind {
        Hanging,
        Refusing,
        Resetting,
    };

    explicit DeadAddress(Kind kind)
        : m_listener(listenSocket())
    {
        if (kind == Kind::Refusing) {
            return; // the port stays taken, so that no other program listens there
        }
        REQUIRE(::listen(m_listener, kind == Kind::Hanging ? 0 : 100) == 0);
        if (kind == Kind::Hanging) {
            for (int n = 0; n < 2; ++n) { // a full queue of connections drops the packets that open further ones
                connectOnce();
            }
            return;
        }
        QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
            for (int it = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK); it >= 0; it = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)) {
                const linger reset{1, 0};
                ::setsockopt(it, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                ::close(it);
            }
        });
        m_timer.start(std::chrono::milliseconds(1));
    }

    ~DeadAddress()
    {
        for (const int it : m_sockets) {
            ::close(it);
        }
        if (m_listener >= 0) {
            ::close(m_listener);
        }
    }

    DeadAddress(const DeadAddress &) = delete;
    DeadAddress &operator=(const DeadAddress &) = delete;

    QByteArray text() const
    {
        return QByteArray::fromStdString(net::toText(m_address));
    }

private:
    int listenSocket()
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) == 0);
        REQUIRE(::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_address = {QHostAddress(QStringLiteral("127.0.0.1")), ntohs(address.sin_port)};
        return descriptor;
    }

    void connectOnce()
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_address.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isOpening = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 || errno == EINPROGRESS;
        REQUIRE(isOpening);
        m_sockets.push_back(descriptor);
    }

    net::Address m_address;
    int m_listener;
    std::vector<int> m_sockets;
    QTimer m_timer;
};

} // namespace auburndrum::gateway
