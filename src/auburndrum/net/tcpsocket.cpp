#include "auburndrum/net/tcpsocket.h"

#include "socketstate.h"

#include <QMetaObject>
#include <QSocketNotifier>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace auburndrum::net {

namespace {

constexpr std::size_t MaxReadBytes = 64 * 1024; // limit for one iteration of the event loop; the rest is read in the next one

template<typename Value>
void setOption(int descriptor, int level, int name, Value value)
{
    setsockopt(descriptor, level, name, &value, sizeof(value));
}

} // namespace

class TcpSocket::Private : public QObject
{
public:
    explicit Private(TcpHooks hooks)
        : hooks(std::move(hooks))
    {
    }

    ~Private() override
    {
        close();
    }

    void connectTo(const Address &peer, std::chrono::milliseconds unacknowledged);
    void watch();
    void handleWritable();
    void handleReadable();
    void flush();
    void end(TcpEnd how);
    void endLater(TcpEnd how);
    void close();

    TcpHooks hooks;
    int descriptor = -1;
    bool connected = false;
    bool paused = false;
    bool wasReset = false; ///< a write has met the reset of the connection, which no read reports then
    QByteArray output;
    std::unique_ptr<QSocketNotifier> readable;
    std::unique_ptr<QSocketNotifier> writable;
};

void TcpSocket::Private::connectTo(const Address &peer, std::chrono::milliseconds unacknowledged)
{
    descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        endLater(TcpEnd::ConnectFailed);
        return;
    }
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned int>(unacknowledged.count()));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port);
    address.sin_addr.s_addr = htonl(peer.host.toIPv4Address());
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    if (result != 0 && errno != EINPROGRESS) {
        endLater(TcpEnd::ConnectFailed);
        return;
    }
    watch();
}

void TcpSocket::Private::watch()
{
    readable = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read);
    readable->setEnabled(false);
    writable = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Write);
    connect(readable.get(), &QSocketNotifier::activated, this, [this] {
        handleReadable();
    });
    connect(writable.get(), &QSocketNotifier::activated, this, [this] {
        handleWritable();
    });
}

void TcpSocket::Private::handleWritable()
{
    if (connected) {
        flush();
        if (hooks.onWritten) {
            hooks.onWritten();
        }
        return;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        end(TcpEnd::ConnectFailed);
        return;
    }
    connected = true;
    writable->setEnabled(!output.isEmpty());
    readable->setEnabled(!paused);
    if (hooks.onConnected) {
        hooks.onConnected();
    }
}

void TcpSocket::Private::flush()
{
    while (!output.isEmpty()) {
        const ssize_t n = ::send(descriptor, output.constData(), static_cast<std::size_t>(output.size()), MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (n < 0) {
            // A peer that closed in order before it reset the connection, so that all its bytes have arrived, is reported as a broken pipe.
            wasReset = wasReset || errno != EPIPE;
            output.clear(); // handleReadable() reports how the connection ended, after the bytes that still arrived
            break;
        }
        output.remove(0, n);
    }
    writable->setEnabled(!output.isEmpty());
}

void TcpSocket::Private::handleReadable()
{
    std::array<char, MaxReadBytes> buf;
    const ssize_t n = ::recv(descriptor, buf.data(), buf.size(), 0);
    if (n > 0) {
        hooks.onData(QByteArray(buf.data(), n));
        return;
    }
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    end(n == 0 && !wasReset ? TcpEnd::Closed : TcpEnd::Reset);
}

void TcpSocket::Private::end(TcpEnd how)
{
    close();
    if (hooks.onEnd) {
        hooks.onEnd(how);
    }
}

void TcpSocket::Private::endLater(TcpEnd how)
{
    close();
    QMetaObject::invokeMethod(
        this,
        [this, how] {
            end(how);
        },
        Qt::QueuedConnection);
}

void TcpSocket::Private::close()
{
    // Deleted later, because this function may run inside the signal of one of the notifiers.
    for (auto *it : {&readable, &writable}) {
        if (*it) {
            (*it)->setEnabled(false);
            (*it)->disconnect(this);
            it->release()->deleteLater();
        }
    }
    if (descriptor >= 0) {
        ::close(descriptor);
        descriptor = -1;
    }
    connected = false;
    wasReset = false;
    output.clear();
}

TcpSocket::TcpSocket(TcpHooks hooks)
    : d(std::make_unique<Private>(std::move(hooks)))
{
}

TcpSocket::~TcpSocket() = default;

void TcpSocket::connectTo(const Address &peer, std::chrono::milliseconds unacknowledged)
{
    d->connectTo(peer, unacknowledged);
}

void TcpSocket::write(const QByteArray &bytes)
{
    if (d->descriptor < 0) {
        return;
    }
    d->output += bytes;
    if (d->connected) {
        d->flush();
    }
}

qint64 TcpSocket::bytesToWrite() const
{
    return d->output.size();
}

qint64 TcpSocket::unacknowledgedBytes() const
{
    return d->output.size() + (d->descriptor < 0 ? 0 : net::unacknowledgedBytes(d->descriptor).value_or(0));
}

void TcpSocket::setReadingPaused(bool paused)
{
    d->paused = paused;
    if (d->connected) {
        d->readable->setEnabled(!paused);
    }
}

void TcpSocket::abort()
{
    if (d->descriptor >= 0) {
        // An orderly close would still deliver the bytes that wait in the send buffer.
        setOption(d->descriptor, SOL_SOCKET, SO_LINGER, linger{1, 0});
    }
    d->close();
}

bool TcpSocket::isConnected() const
{
    return d->connected;
}

bool TcpSocket::isConnectedAndIdle() const
{
    if (!d->connected) {
        return false;
    }
    char byte = 0;
    const ssize_t n = ::recv(d->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && errno == EAGAIN;
}

} // namespace auburndrum::net
