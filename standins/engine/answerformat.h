#pragma once

#include "standins/engine/streams.h"

#include <nlohmann/json.hpp>

#include <QByteArray>

#include <cstdint>
#include <string>

namespace auburndrum::standins {

/// Returns the server-sent event of one token.
QByteArray tokenEvent(const std::string &attempt, const StreamRecord &record, std::uint32_t index);

/// Returns the server-sent event that ends a stream.
QByteArray doneEvent();

/// Returns the body of a whole answer.
nlohmann::json wholeAnswer(const std::string &attempt, const StreamRecord &record);

} // namespace auburndrum::standins
