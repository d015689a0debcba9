#include "auburndrum/net/header.h"

#include <algorithm>

namespace auburndrum::net {

QByteArray headerValue(const std::vector<Header> &headers, const QByteArray &name)
{
    for (const Header &it : headers) {
        if (it.name.compare(name, Qt::CaseInsensitive) == 0) {
            return it.value;
        }
    }
    return {};
}

void appendField(QByteArray &buf, const Header &field)
{
    const auto begin = buf.size();
    buf += field.name + ": " + field.value;
    std::replace_if(
        buf.begin() + begin,
        buf.end(),
        [](char it) {
            const auto code = static_cast<unsigned char>(it);
            return (code < ' ' && it != '\t') || code == 0x7f;
        },
        ' ');
    buf += "\r\n";
}

} // namespace auburndrum::net
