#pragma once

#include <QByteArray>

#include <vector>

namespace auburndrum::net {

/// One HTTP header field.
struct Header
{
    QByteArray name;
    QByteArray value;
};

/// Returns the value of the first field called `name`, compared case-insensitively; empty when it is absent.
QByteArray headerValue(const std::vector<Header> &headers, const QByteArray &name);

} // namespace auburndrum::net
