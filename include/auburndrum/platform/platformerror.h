#pragma once

#include "auburndrum/net/httpclient.h"

namespace auburndrum::platform {

/// Why a call to the platform failed.
enum class PlatformError {
    None,
    NotSent, ///< the platform can't have seen the call
    Refused, ///< the platform answered that it did nothing, such as over its append rate
    Unknown, ///< the call may have taken effect
    Cut, ///< the records asked for are older than the log keeps
};

/// Turns the end of an HTTP call into the platform's terms.
PlatformError platformError(const net::HttpResult &result);

/// Short name of an error for logs.
const char *toText(PlatformError error);

} // namespace auburndrum::platform
