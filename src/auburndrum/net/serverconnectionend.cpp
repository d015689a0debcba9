#include "responsehead.h"
#include "serverconnection.h"
#include "socketstate.h"

#include <sys/socket.h>

// How a caller's connection ends.

namespace auburndrum::net {

namespace {

constexpr std::chrono::milliseconds RejectLinger{500}; // gives the caller time to read the error response before the connection closes
constexpr std::chrono::milliseconds BrokenResponseLinger{1000}; // for a caller that reads slowly to take what was written before the response broke off
constexpr std::chrono::milliseconds CloseCheckInterval{100}; // while bytes are left unread

} // namespace

void ServerConnection::watchForClose()
{
    if (m_isWatchingForClose || !isReadBufferFull()) {
        return;
    }
    m_isWatchingForClose = true;
    QTimer::singleShot(CloseCheckInterval, this, [this] {
        const auto self = shared_from_this(); // a hook may release the last other reference
        m_isWatchingForClose = false;
        if (isReadBufferFull() && hasPeerClosed()) {
            abort();
            return;
        }
        watchForClose();
    });
}

void ServerConnection::closeIfIdle(std::chrono::milliseconds minIdle)
{
    const bool mayClose = isIdle() && (minIdle.count() == 0 || isDelivered());
    if (mayClose && std::chrono::steady_clock::now() - m_idleSince >= minIdle) {
        close("stop");
    }
}

void ServerConnection::close(const char *reason)
{
    reportUnfinished(reason);
    if (m_options.onClose) {
        m_options.onClose({.reason = reason,
                           .isAnnounced = m_isCloseAnnounced,
                           .announcedIdle = m_announcedIdle,
                           .idle = std::chrono::floor<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_idleSince),
                           .requests = m_requests,
                           .peer = {m_socket->peerAddress(), m_socket->peerPort()}});
    }
    m_socket->disconnectFromHost();
}

void ServerConnection::reportUnfinished(const char *reason) const
{
    const qint64 unread = net::unreadBytes(descriptor()) + m_socket->bytesAvailable() + m_input.size();
    const bool isInRequest = m_parser || unread > 0;
    if (!isInRequest || m_isLingering || !m_options.onUnfinishedClose) {
        return;
    }
    m_options.onUnfinishedClose({.reason = reason,
                                 .unreadBytes = unread,
                                 .partialBytes = m_parser ? m_partialBytes : 0,
                                 .unsentBytes = m_socket->bytesToWrite(),
                                 .sinceLastReceived = sinceLastReceived(descriptor())});
}

void ServerConnection::refuseUnreadRequest()
{
    if (m_parser && !m_isHandlerCalled) {
        reject(503, "The server stops.");
    }
}

void ServerConnection::flush()
{
    if (m_socket) {
        m_socket->flush();
    }
}

void ServerConnection::reject(int status, const QByteArray &message, const std::vector<Header> &headers)
{
    if (!isOpen()) {
        return;
    }
    if (m_isHandlerCalled) {
        abort(); // the handler may already have started a response
        return;
    }
    const QByteArray body = m_options.errorBody ? m_options.errorBody(status, message) : message;
    std::vector<Header> all = {{"Content-Type", "application/json"}, {"Connection", "close"}};
    all.insert(all.end(), headers.begin(), headers.end());
    m_socket->write(responseHead(status, all, body.size()) + body);
    linger(RejectLinger);
}

void ServerConnection::linger(std::chrono::milliseconds time)
{
    m_isLingering = true;
    m_parser.reset();
    m_input.clear();
    m_socket->readAll();
    m_timer.start(time);
}

void ServerConnection::closeOnceWritten()
{
    if (!isOpen()) {
        return;
    }
    reportUnfinished("broken response");
    m_exchange.reset();
    m_isHandlerCalled = false;
    linger(BrokenResponseLinger);
    m_endsOnceWritten = true;
    endOnceWritten();
}

void ServerConnection::endOnceWritten()
{
    if (m_endsOnceWritten && m_socket && m_socket->bytesToWrite() == 0) {
        m_endsOnceWritten = false;
        // Closing the socket while input is unread would reset the connection, and drop what the caller has not received yet.
        ::shutdown(descriptor(), SHUT_WR);
    }
}

void ServerConnection::abort()
{
    if (m_socket) {
        m_socket->abort();
    }
}

void ServerConnection::handleTimer()
{
    if (!m_socket) {
        return;
    }
    if (m_isLingering) {
        abort();
        return;
    }
    if (m_parser && net::unreadBytes(descriptor()) + m_socket->bytesAvailable() > 0) {
        m_timer.start(CloseCheckInterval); // what has arrived is read next
        return;
    }
    if (m_isHandlerCalled) {
        reportUnfinished("body time");
        abort(); // the caller stopped sending in the middle of a body
        return;
    }
    if (m_parser) {
        reject(408, "The request did not arrive in time.");
        return;
    }
    if (!isIdle() || !isDelivered()) {
        startIdleTime(); // the next request has arrived, and its bytes are read next; or the caller hasn't got the last response yet
        return;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_idleSince + idleTime() - std::chrono::steady_clock::now());
    if (left.count() > 0) {
        m_timer.start(left);
        return;
    }
    close("idle time");
}

void ServerConnection::handleDisconnected()
{
    m_timer.stop();
    m_parser.reset();
    const auto exchange = std::exchange(m_exchange, {});
    if (!exchange || exchange->m_state == Exchange::State::Done || !exchange->m_onCallerDisconnected) {
        return;
    }
    const auto hook = std::exchange(exchange->m_onCallerDisconnected, {});
    hook();
}

} // namespace auburndrum::net
