#pragma once

#include "auburndrum/net/header.h"

#include <QByteArray>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace auburndrum::net {

/// Request line and header fields, as the caller wrote them.
struct RequestHead
{
    QByteArray method;
    QByteArray target; ///< path and query, not decoded
    std::vector<Header> headers;
    std::optional<qint64> bodyLength; ///< nothing when the body is chunked
};

/// Reads HTTP/1.1 requests from bytes as they arrive, one after the other. The work is done by Boost.Beast's parser.
class RequestParser
{
public:
    enum class Error {
        None,
        Malformed,
        HeaderTooLarge,
        BodyTooLarge,
    };

    using BodyHook = std::function<void(const char *, std::size_t)>;

    RequestParser(qint64 maxHeaderBytes, qint64 maxBodyBytes, BodyHook onBody);
    ~RequestParser();

    /// Takes bytes of one request; returns how many were used. Stops at the end of the header and at the end of the request.
    qsizetype feed(QByteArrayView bytes, Error &error);
    bool hasHead() const;
    bool isDone() const;
    bool keepsAlive() const;
    const RequestHead &head() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace auburndrum::net
