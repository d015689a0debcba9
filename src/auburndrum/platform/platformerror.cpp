#include "auburndrum/platform/platformerror.h"

namespace auburndrum::platform {

namespace {

constexpr int StatusGone = 410;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

} // namespace

PlatformError platformError(const net::HttpResult &result)
{
    if (result.failure != net::HttpFailure::None) {
        return result.sent ? PlatformError::Unknown : PlatformError::NotSent;
    }
    const int status = result.head.status;
    if (status >= 200 && status < 300) {
        return PlatformError::None;
    }
    if (status == StatusGone) {
        return PlatformError::Truncated;
    }
    if (status == StatusTooManyRequests || status == StatusUnavailable || (status >= 400 && status < 500)) {
        return PlatformError::Refused;
    }
    return PlatformError::Unknown;
}

const char *toText(PlatformError error)
{
    switch (error) {
    case PlatformError::None:
        return "none";
    case PlatformError::NotSent:
        return "not sent";
    case PlatformError::Refused:
        return "refused";
    case PlatformError::Unknown:
        return "unknown";
    case PlatformError::Truncated:
        return "cut from the log";
    }
    return "unknown";
}

} // namespace auburndrum::platform
