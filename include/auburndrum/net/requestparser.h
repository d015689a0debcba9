#pragma once

#include "auburndrum/net/header.h"

#include <QByteArray>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace auburndrum::net {

/// Request line and header fields as the caller sent them.
struct RequestHead
{
    QByteArray method;
    QByteArray target; ///< path and query, not decoded
    std::vector<Header> headers;
    std::optional<qint64> bodyLength; ///< bytes; not set when the body is chunked
};

/// Parses one HTTP/1.1 request incrementally, with Boost.Beast's parser.
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

    /// `maxHeaderBytes` limits the header, each chunk's header and the trailers.
    RequestParser(qint64 maxHeaderBytes, qint64 maxBodyBytes, BodyHook onBody);
    ~RequestParser();

    /// Parses bytes of the request and returns how many were consumed. Stops at the end of the header and at the end of the request.
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
