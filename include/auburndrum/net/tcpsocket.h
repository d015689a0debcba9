#pragma once

#include "auburndrum/net/address.h"

#include <QByteArray>

#include <chrono>
#include <functional>
#include <memory>

namespace auburndrum::net {

/// How a connection ended.
enum class TcpEnd {
    ConnectFailed, ///< the connection was never established
    Closed, ///< orderly close by the peer: all bytes that it sent have arrived
    Reset, ///< the connection broke: bytes may be missing
};

/// Functions that a TcpSocket calls. All run on the socket's thread, from the event loop; each may destroy the socket.
struct TcpHooks
{
    std::function<void()> onConnected;
    std::function<void(const QByteArray &)> onData;
    std::function<void()> onWritten; ///< optional; called when the operating system has accepted bytes that had to wait
    std::function<void(TcpEnd)> onEnd; ///< called at most once, and never after abort()
};

/// @brief An outgoing TCP connection that distinguishes an orderly close from a reset, which QTcpSocket doesn't.
///
/// An HTTP response without a length is complete only when its connection was closed in order.
class TcpSocket
{
public:
    explicit TcpSocket(TcpHooks hooks);
    ~TcpSocket();

    TcpSocket(const TcpSocket &) = delete;
    TcpSocket &operator=(const TcpSocket &) = delete;

    /// Starts to connect. The connection counts as broken when sent bytes stay unacknowledged for longer than `unacknowledged`.
    void connectTo(const Address &peer, std::chrono::milliseconds unacknowledged);
    /// Sends bytes, or queues them until connected; dropped before connectTo() and after the end of the connection.
    void write(const QByteArray &bytes);
    /// Number of bytes that the operating system has not accepted yet.
    qint64 bytesToWrite() const;
    /// Number of bytes that the peer has not acknowledged yet, those of bytesToWrite() included.
    qint64 unacknowledgedBytes() const;
    /// Pauses or resumes reading.
    void setReadingPaused(bool paused);
    /// Resets the connection without calling a hook: bytes that the peer has not received yet are dropped.
    void abort();
    bool isConnected() const;
    /// Whether the connection is open and has no unread bytes, as the operating system reports at this moment.
    bool isConnectedAndIdle() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace auburndrum::net
