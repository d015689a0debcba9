#include "responsehead.h"

#include <boost/beast/http/status.hpp>

namespace auburndrum::net {

QByteArray responseHead(int status, const std::vector<Header> &headers, std::optional<qint64> length)
{
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    QByteArray buf;
    buf.reserve(256);
    buf += "HTTP/1.1 " + QByteArray::number(status) + ' ' + QByteArray(reason.data(), static_cast<qsizetype>(reason.size())) + "\r\n";
    for (const Header &it : headers) {
        appendField(buf, it);
    }
    if (length) {
        buf += "Content-Length: " + QByteArray::number(*length) + "\r\n";
    } else {
        buf += "Transfer-Encoding: chunked\r\n";
    }
    buf += "\r\n";
    return buf;
}

} // namespace auburndrum::net
