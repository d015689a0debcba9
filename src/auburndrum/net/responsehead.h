#pragma once

#include "auburndrum/net/header.h"

#include <QByteArray>

#include <optional>

namespace auburndrum::net {

/// Writes status line and header fields of an answer; without a length the body is chunked.
QByteArray responseHead(int status, const std::vector<Header> &headers, std::optional<qint64> length);

} // namespace auburndrum::net
