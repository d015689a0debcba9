#pragma once

#include "auburndrum/net/httpclient.h"

namespace auburndrum::platform {

/// Why a call to the platform failed.
enum class PlatformError {
    None,
    NotSent, ///< the platform can't have received the call
    Refused, ///< the platform rejected the call without effect, for instance because its append rate was exceeded
    Unknown, ///< the call may have taken effect
    Truncated, ///< the requested records were already truncated from the log
};

/// Maps the result of an HTTP call to the platform to an error.
PlatformError platformError(const net::HttpResult &result);

/// Short name of an error for logs.
const char *toText(PlatformError error);

} // namespace auburndrum::platform
