#pragma once

#include "auburndrum/base/errors.h"
#include "auburndrum/decision/traffic/relaydirectory.h"
#include "auburndrum/gateway/promptstorelog.h"
#include "auburndrum/gateway/recordstore.h"

#include <cstdint>
#include <map>
#include <string>

namespace auburndrum::gateway {

/// Poll of an entry VM to its relay.
struct RelayRequest
{
    decision::EntryVm from;
    std::map<std::string, std::uint64_t> topics; ///< offset to read from, by topic
    std::string promptStoreLogName; ///< log that `promptStoreLogFrom` numbers belong to; empty at first
    std::uint64_t promptStoreLogFrom = 0;
};

/// Response of a relay to a poll.
struct RelayResponse
{
    std::map<std::string, RecordBatch> topics; ///< records of the requested topics that the relay has
    bool followsStores = false; ///< whether the relay reads the prompt stores' changes itself; `promptStoreLog` is empty otherwise
    PromptStoreLogSlice promptStoreLog;
};

/// @{ Conversion of messages between entry VMs to and from JSON text. Parsing fails with the reason.
std::string toJson(const RelayRequest &request);
std::string toJson(const RelayResponse &response);
std::string toJson(const decision::EntryVm &vm);
Result<RelayRequest, std::string> relayRequestFrom(const std::string &json);
Result<RelayResponse, std::string> relayResponseFrom(const std::string &json);
Result<decision::EntryVm, std::string> entryVmFrom(const std::string &json);
/// @}

} // namespace auburndrum::gateway
