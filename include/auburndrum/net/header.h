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

/// Returns the first value of the field `name`, compared without case; empty when it is absent.
QByteArray headerValue(const std::vector<Header> &headers, const QByteArray &name);

} // namespace auburndrum::net
