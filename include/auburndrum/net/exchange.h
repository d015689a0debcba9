#pragma once

#include "auburndrum/net/header.h"
#include "auburndrum/net/requestparser.h"

#include <QByteArray>
#include <QHostAddress>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace auburndrum::net {

class ServerConnection;

/// One request from a caller and the answer to it.
///
/// Answering is possible once. When the caller has gone, answers are dropped without error.
class Exchange
{
public:
    struct Request
    {
        RequestHead head;
        QByteArray body; ///< what had arrived when the handler was called
        QHostAddress remoteAddress;
        std::chrono::steady_clock::time_point arrivedAt; ///< when its first byte was read
    };

    Exchange(Request request, std::weak_ptr<ServerConnection> connection);
    ~Exchange();

    const QByteArray &method() const
    {
        return m_request.head.method;
    }
    QByteArray path() const;
    /// Value of a query item; empty when it is absent.
    QByteArray query(const QByteArray &name) const;
    /// The whole query as it was sent, without the question mark.
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

    /// Whether the whole request had arrived when the handler was called, or has since.
    bool isBodyComplete() const
    {
        return m_bodyComplete;
    }
    /// Sets what takes the parts of a body that was not complete when the handler was called; `last` marks its end.
    void setOnBodyPart(std::function<void(const QByteArray &part, bool last)> hook);
    /// Stops and resumes reading of the body, so that a slow reader slows the caller.
    void setBodyPaused(bool paused);

    /// Sends a whole answer.
    void respond(int status, const std::vector<Header> &headers, const QByteArray &body);
    /// Sends a whole answer with a JSON body.
    void respondJson(int status, const QByteArray &json, const std::vector<Header> &headers = {});
    /// Begins an answer of unknown length.
    void startStream(int status, const std::vector<Header> &headers);
    /// Sends one part of a started stream.
    void writeChunk(const QByteArray &part);
    /// Ends a started stream.
    void finishStream();
    /// Closes the connection without finishing the answer.
    void abort();

    bool isAnswered() const
    {
        return m_state != State::Waiting;
    }
    bool isOpen() const;
    /// Bytes handed over and not yet taken by the network.
    qint64 unsentBytes() const;
    /// Sets what runs when the caller's connection closes before the answer is complete.
    void setOnCallerGone(std::function<void()> hook);
    /// Sets what runs each time that the network has taken bytes of the answer.
    void setOnBytesSent(std::function<void()> hook);

private:
    friend class ServerConnection;

    enum class State {
        Waiting,
        Streaming,
        Done,
    };

    void complete();

    Request m_request;
    std::weak_ptr<ServerConnection> m_connection;
    State m_state = State::Waiting;
    bool m_bodyComplete = true;
    std::function<void()> m_onCallerGone;
    std::function<void()> m_onBytesSent;
    std::function<void(const QByteArray &, bool)> m_onBodyPart;
};

} // namespace auburndrum::net
