#pragma once

#include "auburndrum/base/errors.h"
#include "auburndrum/decision/traffic/brittleservers.h"
#include "auburndrum/decision/traffic/crashevidence.h"
#include "auburndrum/decision/traffic/relaydirectory.h"
#include "auburndrum/decision/traffic/serverlimits.h"
#include "auburndrum/decision/traffic/vmpresence.h"

#include <string>
#include <vector>

namespace auburndrum::gateway {

/// What an entry VM knows from responses of backend servers and from its calls to other entry VMs, with its own registration.
struct ExchangeMessage
{
    decision::EntryVm from;
    decision::CrashEvidence evidence;
    std::vector<decision::LimitNotice> limits;
    std::vector<decision::VmSilence> silences;
    std::vector<decision::LimitNotice> brittleServices; ///< each names a service in place of a server
    std::vector<decision::ServerRoom> rooms; ///< of their servers
};

/// @{ Conversion to and from JSON text. Times travel as ages, since the clocks of two VMs differ; `now` is this VM's clock that counts suspension.
std::string toJson(const ExchangeMessage &message, Instant now);
Result<ExchangeMessage, std::string> exchangeMessageFrom(const std::string &json, Instant now);
/// @}

} // namespace auburndrum::gateway
