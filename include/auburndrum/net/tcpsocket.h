#pragma once

#include "auburndrum/net/address.h"

#include <QByteArray>

#include <chrono>
#include <functional>
#include <memory>

namespace auburndrum::net {

/// How a connection ended.
enum class TcpEnd {
    ConnectFailed, ///< there never was one
    Closed, ///< the peer closed it in order: all that it sent has arrived
    Reset, ///< broken: bytes may be missing
};

/// What a TcpSocket tells. All run on its thread, from the event loop; each may destroy the socket.
struct TcpHooks
{
    std::function<void()> onConnected;
    std::function<void(const QByteArray &)> onData;
    std::function<void(TcpEnd)> onEnd; ///< at most once, not after abort()
};

/// @brief An outgoing TCP connection that tells an orderly close from a reset, which QTcpSocket doesn't.
///
/// An answer without a length is whole only when its connection was closed in order.
class TcpSocket
{
public:
    explicit TcpSocket(TcpHooks hooks);
    ~TcpSocket();

    TcpSocket(const TcpSocket &) = delete;
    TcpSocket &operator=(const TcpSocket &) = delete;

    /// Begins to connect; `unacknowledged` is how long sent bytes may stay without acknowledgement before the connection counts as broken.
    void connectTo(const Address &peer, std::chrono::milliseconds unacknowledged);
    /// Queues bytes; dropped when there is no connection.
    void write(const QByteArray &bytes);
    /// Bytes that the network has not taken yet.
    qint64 bytesToWrite() const;
    /// Stops and resumes reading.
    void setReadingPaused(bool paused);
    /// Closes at once and tells nothing.
    void abort();
    bool isConnected() const;
    /// Whether the connection is open and nothing has arrived on it, asked of the operating system now.
    bool isQuiet() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace auburndrum::net
