#pragma once

#include "auburndrum/net/header.h"

#include <QByteArray>
#include <QHostAddress>
#include <QUrl>

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
        QByteArray method;
        QUrl url;
        std::vector<Header> headers;
        QByteArray body;
        QHostAddress remoteAddress;
    };

    Exchange(Request request, std::weak_ptr<ServerConnection> connection);
    ~Exchange();

    const QByteArray &method() const
    {
        return m_request.method;
    }
    QByteArray path() const;
    /// Value of a query item; empty when it is absent.
    QByteArray query(const QByteArray &name) const;
    /// The whole query as it was sent, without the question mark.
    QByteArray rawQuery() const;
    QByteArray header(const QByteArray &name) const;
    const QByteArray &body() const
    {
        return m_request.body;
    }
    const QHostAddress &remoteAddress() const
    {
        return m_request.remoteAddress;
    }

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
    std::function<void()> m_onCallerGone;
};

} // namespace auburndrum::net
