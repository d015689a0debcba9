#pragma once

#include "auburndrum/net/header.h"

#include <QByteArray>

#include <functional>
#include <memory>

namespace auburndrum::net {

/// Status line and header fields of an HTTP answer.
struct HttpHead
{
    int status = 0;
    std::vector<Header> headers;

    QByteArray header(const QByteArray &name) const
    {
        return headerValue(headers, name);
    }
};

/// Reads one HTTP/1.1 answer from bytes as they arrive. The work is done by Boost.Beast's parser.
class ResponseParser
{
public:
    using HeadHook = std::function<void(const HttpHead &)>;
    using BodyHook = std::function<void(const char *, std::size_t)>;

    ResponseParser(HeadHook onHead, BodyHook onBody);
    ~ResponseParser();

    /// Takes more bytes; false when they are not a well-formed answer.
    bool feed(const QByteArray &bytes);
    /// Tells that the peer closed; false when the answer is cut short.
    bool finishAtClose();
    bool isDone() const;
    bool keepsAlive() const;
    /// Bytes behind the end of the answer; empties them.
    QByteArray takeRest();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace auburndrum::net
