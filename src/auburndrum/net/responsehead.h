#pragma once

#include "auburndrum/net/header.h"

#include <QByteArray>

#include <optional>

namespace auburndrum::net {

/// Returns the status line and header fields of a response; without a length it announces a chunked body.
QByteArray responseHead(int status, const std::vector<Header> &headers, std::optional<qint64> length);

} // namespace auburndrum::net
