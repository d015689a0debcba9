#pragma once

#include "auburndrum/net/header.h"
#include "auburndrum/net/requestparser.h"

#include <QByteArray>
#include <QHostAddress>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace auburndrum::net {

class ServerConnection;

/// One request from a caller and the response to it.
///
/// Only the first response is sent. When the caller has disconnected, the response is dropped without error.
class Exchange
{
public:
    struct Request
    {
        RequestHead head;
        QByteArray body; ///< the part of the body that had arrived when the handler was called
        QHostAddress remoteAddress;
        std::chrono::steady_clock::time_point arrivedAt; ///< when the first byte of the request was read
        std::optional<std::chrono::milliseconds> unreadFor; ///< time for which the request's latest bytes had waited to be read; empty when unknown
    };

    Exchange(Request request, std::weak_ptr<ServerConnection> connection);
    ~Exchange();

    const QByteArray &method() const
    {
        return m_request.head.method;
    }
    QByteArray path() const;
    /// Decoded value of a query parameter; empty when it is absent.
    QByteArray query(const QByteArray &name) const;
    /// The complete query string as it was sent, not decoded and without the question mark.
    QByteArray rawQuery() const;
    QByteArray header(const QByteArray &name) const;
    const RequestHead &head() const
    {
        return m_request.head;
    }
    const QByteArray &body() const
    {
        return m_request.body;
    }
    const QHostAddress &remoteAddress() const
    {
        return m_request.remoteAddress;
    }
    std::chrono::steady_clock::time_point arrivedAt() const
    {
        return m_request.arrivedAt;
    }

    /// Time for which the request's latest bytes had waited to be read when it began to be read; empty when the system doesn't tell.
    std::optional<std::chrono::milliseconds> unreadFor() const
    {
        return m_request.unreadFor;
    }

    /// Whether the complete body has arrived.
    bool isBodyComplete() const
    {
        return m_bodyComplete;
    }
    /// Sets the hook that receives the rest of a body that was incomplete when the handler was called; `last` is true for the final part.
    void setOnBodyPart(std::function<void(const QByteArray &part, bool last)> hook);
    /// Pauses or resumes reading of the body, so that TCP flow control slows the caller down to the speed of the reader.
    void setBodyPaused(bool paused);

    /// Sends a complete response.
    void respond(int status, const std::vector<Header> &headers, const QByteArray &body);
    /// Sends a complete response with a JSON body.
    void respondJson(int status, const QByteArray &json, const std::vector<Header> &headers = {});
    /// Starts a response of unknown length.
    void startStream(int status, const std::vector<Header> &headers);
    /// Sends one part of a response begun by startStream().
    void writeChunk(const QByteArray &part);
    /// Completes a response begun by startStream().
    void finishStream();
    /// Ends a response begun by startStream() without completing it. What was written still reaches the caller, to whom the missing last chunk shows that the
    /// response was cut.
    void breakOff();
    /// Closes the connection without completing the response; drops what was written and has not left yet.
    void abort();

    bool isAnswered() const
    {
        return m_state != State::Waiting;
    }
    bool isOpen() const;
    /// Whether the caller has closed its side of the connection, also behind bytes that are still unread. Asks the operating system.
    bool hasCallerClosed() const;
    /// Number of bytes of the response that the operating system has not accepted yet.
    qint64 unsentBytes() const;
    /// Sets the hook that runs when the caller's connection closes before the response is complete.
    void setOnCallerDisconnected(std::function<void()> hook);
    /// Sets the hook that runs each time the operating system has accepted bytes of the response.
    void setOnBytesSent(std::function<void()> hook);

private:
    friend class ServerConnection;

    enum class State {
        Waiting,
        Streaming,
        Done,
    };

    /// Lets go of the handler's hooks.
    void release();
    void complete();

    Request m_request;
    std::weak_ptr<ServerConnection> m_connection;
    State m_state = State::Waiting;
    bool m_bodyComplete = true;
    std::function<void()> m_onCallerDisconnected;
    std::function<void()> m_onBytesSent;
    std::function<void(const QByteArray &, bool)> m_onBodyPart;
};

} // namespace auburndrum::net
