#pragma once

#include "auburndrum/net/header.h"

#include <QByteArray>

#include <functional>
#include <memory>

namespace auburndrum::net {

/// Status code and header fields of an HTTP response.
struct HttpHead
{
    int status = 0;
    std::vector<Header> headers;

    QByteArray header(const QByteArray &name) const
    {
        return headerValue(headers, name);
    }
};

/// Parses one HTTP/1.1 response incrementally, with Boost.Beast's parser.
class ResponseParser
{
public:
    using HeadHook = std::function<void(const HttpHead &)>;
    using BodyHook = std::function<void(const char *, std::size_t)>;

    ResponseParser(HeadHook onHead, BodyHook onBody);
    ~ResponseParser();

    /// Parses further bytes; returns false when they are not a well-formed response, which has a status from 100 to 599 and, where it is interim, no body.
    bool feed(const QByteArray &bytes);
    /// Must be called when the peer has closed the connection; returns false when the response is incomplete.
    bool finishOnPeerClose();
    bool isDone() const;
    /// Whether the body has neither a length nor chunks, so that only the end of the connection marks its end.
    bool endsWithConnection() const;
    bool keepsAlive() const;
    /// Returns and clears the bytes received after the end of the response.
    QByteArray takeUnparsedBytes();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace auburndrum::net
