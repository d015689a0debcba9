#include "auburndrum/net/header.h"

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

} // namespace auburndrum::net
