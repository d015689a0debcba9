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

/// Appends the field as a line of a header. Control characters become blanks, so that no value from outside adds fields or ends the header.
void appendField(QByteArray &buf, const Header &field);

} // namespace auburndrum::net
