#include "auburndrum/net/requestparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/optional/optional.hpp>

namespace auburndrum::net {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

QByteArray toBytes(beast::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

RequestParser::Error toError(const beast::error_code &ec)
{
    if (!ec || ec == http::error::need_more) {
        return RequestParser::Error::None;
    }
    if (ec == http::error::header_limit) {
        return RequestParser::Error::HeaderTooLarge;
    }
    return ec == http::error::body_limit ? RequestParser::Error::BodyTooLarge : RequestParser::Error::Malformed;
}

} // namespace

class RequestParser::Private final : public http::basic_parser<true>
{
public:
    Private(qint64 maxHeaderBytes, qint64 maxBodyBytes, BodyHook onBody)
        : m_maxHeaderBytes(maxHeaderBytes)
        , m_onBody(std::move(onBody))
    {
        header_limit(static_cast<std::uint32_t>(maxHeaderBytes));
        body_limit(static_cast<std::uint64_t>(maxBodyBytes));
    }

    const RequestHead &head() const
    {
        return m_head;
    }

    qint64 maxHeaderBytes() const
    {
        return m_maxHeaderBytes;
    }

protected:
    void on_request_impl(http::verb /*method*/, beast::string_view method, beast::string_view target, int /*version*/, beast::error_code & /*ec*/) override
    {
        m_head.method = toBytes(method);
        m_head.target = toBytes(target);
    }

    void on_response_impl(int /*code*/, beast::string_view /*reason*/, int /*version*/, beast::error_code & /*ec*/) override
    {
    }

    void on_field_impl(http::field /*field*/, beast::string_view name, beast::string_view value, beast::error_code & /*ec*/) override
    {
        m_head.headers.push_back({toBytes(name), toBytes(value)});
    }

    void on_header_impl(beast::error_code & /*ec*/) override
    {
        if (!chunked()) {
            m_head.bodyLength = static_cast<qint64>(content_length().value_or(0));
        }
    }

    void on_body_init_impl(boost::optional<std::uint64_t> const & /*length*/, beast::error_code & /*ec*/) override
    {
    }

    std::size_t on_body_impl(beast::string_view body, beast::error_code & /*ec*/) override
    {
        m_onBody(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/, beast::error_code & /*ec*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view body, beast::error_code & /*ec*/) override
    {
        m_onBody(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(beast::error_code & /*ec*/) override
    {
    }

private:
    qint64 m_maxHeaderBytes;
    BodyHook m_onBody;
    RequestHead m_head;
};

RequestParser::RequestParser(qint64 maxHeaderBytes, qint64 maxBodyBytes, BodyHook onBody)
    : d(std::make_unique<Private>(maxHeaderBytes, maxBodyBytes, std::move(onBody)))
{
}

RequestParser::~RequestParser() = default;

qsizetype RequestParser::feed(QByteArrayView bytes, Error &error)
{
    qsizetype used = 0;
    error = Error::None;
    // Without eager mode, put() returns after the header and after each part of the body.
    while (used < bytes.size() && !d->is_done() && error == Error::None) {
        const bool hadHead = d->is_header_done();
        beast::error_code ec;
        const std::size_t n = d->put(boost::asio::buffer(bytes.data() + used, static_cast<std::size_t>(bytes.size() - used)), ec);
        used += static_cast<qsizetype>(n);
        error = toError(ec);
        if (ec == http::error::need_more && hadHead && bytes.size() - used > d->maxHeaderBytes()) {
            error = Error::HeaderTooLarge; // of a chunk's header or the trailers, which header_limit() leaves out
        }
        if (ec == http::error::need_more || (n == 0 && !ec) || hadHead != d->is_header_done()) {
            break;
        }
    }
    return used;
}

bool RequestParser::hasHead() const
{
    return d->is_header_done();
}

bool RequestParser::isDone() const
{
    return d->is_done();
}

bool RequestParser::keepsAlive() const
{
    return d->keep_alive();
}

const RequestHead &RequestParser::head() const
{
    return d->head();
}

} // namespace auburndrum::net
