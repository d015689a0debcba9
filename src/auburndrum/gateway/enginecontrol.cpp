#include "auburndrum/gateway/enginecontrol.h"

namespace auburndrum::gateway {

const char *toText(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::AlreadyHolds:
        return "already holds";
    case OrderAnswer::Conflict:
        return "conflict";
    case OrderAnswer::StaleFencing:
        return "stale fencing";
    case OrderAnswer::OtherServer:
        return "other server";
    case OrderAnswer::Refused:
        return "refused";
    case OrderAnswer::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace auburndrum::gateway
