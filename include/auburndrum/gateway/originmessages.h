#pragma once

#include "auburndrum/base/errors.h"
#include "auburndrum/decision/traffic/streamorigins.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburndrum::gateway {

/// A datagram between entry VMs about the origin of one stream.
struct OriginMessage
{
    enum class Kind : std::uint8_t {
        Record, ///< remember this origin
        Question,
        Answer,
    };

    Kind kind = Kind::Record;
    std::string attempt; ///< id of the caller's attempt that received the first event
    std::uint64_t number = 0; ///< of the search that asks
    std::string from; ///< name of the VM that answers
    std::optional<decision::StreamOrigin> origin; ///< always set in a Record
};

/// @{ Conversion to and from JSON text.
std::string toJson(const OriginMessage &message);
Result<OriginMessage, std::string> originMessageFrom(const std::string &json);
/// @}

} // namespace auburndrum::gateway
