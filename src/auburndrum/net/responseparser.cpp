#include "auburndrum/net/responseparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/optional/optional.hpp>

#include <limits>

namespace auburndrum::net {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::uint32_t HeaderLimitBytes = 16 * 1024;
constexpr int SmallestStatus = 100;
constexpr int SmallestFinalStatus = 200; // those below are interim
constexpr int LargestStatus = 599;
constexpr int SwitchingProtocols = 101; // no request asks for another protocol
constexpr qsizetype MaxUnparsedBytes = 16 * 1024; // of a header, a chunk's header or trailers that have not ended

QByteArray toBytes(beast::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

} // namespace

class ResponseParser::Private final : public http::basic_parser<false>
{
public:
    Private(HeadHook onHead, BodyHook onBody)
        : m_onHead(std::move(onHead))
        , m_onBody(std::move(onBody))
    {
        eager(true);
        header_limit(HeaderLimitBytes);
        // ClientConnection limits the body instead: the length of a stream is not known in advance.
        body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    bool feed(const QByteArray &bytes)
    {
        m_pending.append(bytes);
        while (!m_pending.isEmpty() && !is_done()) {
            beast::error_code ec;
            const std::size_t used = put(boost::asio::buffer(m_pending.constData(), static_cast<std::size_t>(m_pending.size())), ec);
            m_pending.remove(0, static_cast<qsizetype>(used));
            if (ec == http::error::need_more) {
                return m_pending.size() <= MaxUnparsedBytes;
            }
            if (ec) {
                return false;
            }
        }
        return true;
    }

    QByteArray takeUnparsedBytes()
    {
        return std::exchange(m_pending, {});
    }

    bool finishOnPeerClose()
    {
        if (is_done()) {
            return true;
        }
        beast::error_code ec;
        put_eof(ec);
        return !ec && is_done();
    }

protected:
    void on_request_impl(
        http::verb /*method*/, beast::string_view /*methodText*/, beast::string_view /*target*/, int /*version*/, beast::error_code & /*ec*/) override
    {
    }

    void on_response_impl(int code, beast::string_view /*reason*/, int /*version*/, beast::error_code &ec) override
    {
        m_head.status = code;
        if (code < SmallestStatus || code > LargestStatus || code == SwitchingProtocols) {
            ec = http::error::bad_status;
        }
    }

    void on_field_impl(http::field /*field*/, beast::string_view name, beast::string_view value, beast::error_code & /*ec*/) override
    {
        m_head.headers.push_back({toBytes(name), toBytes(value)});
    }

    void on_header_impl(beast::error_code &ec) override
    {
        const QByteArray length = m_head.header("Content-Length");
        const bool hasBody = (!length.isEmpty() && length != "0") || !m_head.header("Transfer-Encoding").isEmpty();
        if (m_head.status < SmallestFinalStatus && hasBody) {
            ec = http::error::bad_status; // interim responses have no body
            return;
        }
        m_onHead(m_head);
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
    HeadHook m_onHead;
    BodyHook m_onBody;
    HttpHead m_head;
    QByteArray m_pending;
};

ResponseParser::ResponseParser(HeadHook onHead, BodyHook onBody)
    : d(std::make_unique<Private>(std::move(onHead), std::move(onBody)))
{
}

ResponseParser::~ResponseParser() = default;

bool ResponseParser::feed(const QByteArray &bytes)
{
    return d->feed(bytes);
}

bool ResponseParser::finishOnPeerClose()
{
    return d->finishOnPeerClose();
}

bool ResponseParser::isDone() const
{
    return d->is_done();
}

QByteArray ResponseParser::takeUnparsedBytes()
{
    return d->takeUnparsedBytes();
}

bool ResponseParser::endsWithConnection() const
{
    return d->need_eof();
}

bool ResponseParser::keepsAlive() const
{
    return d->keep_alive();
}

} // namespace auburndrum::net
