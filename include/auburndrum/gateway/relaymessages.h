#pragma once

#include "auburndrum/base/errors.h"
#include "auburndrum/decision/traffic/relaydirectory.h"
#include "auburndrum/gateway/keptlog.h"
#include "auburndrum/gateway/recordstore.h"

#include <cstdint>
#include <map>
#include <string>

namespace auburndrum::gateway {

/// What an entry VM asks its relay.
struct RelayQuestion
{
    decision::EntryVm from;
    std::map<std::string, std::uint64_t> topics; ///< offset to read from, by topic
    std::string keptLog; ///< whose numbers `keptFrom` counts in; empty at first
    std::uint64_t keptFrom = 0;
};

/// What a relay tells.
struct RelayAnswer
{
    std::map<std::string, RecordBatch> topics; ///< those of the question that the relay can tell
    bool followsStores = false; ///< whether it reads the prompt stores' changes itself; `kept` holds nothing otherwise
    KeptSlice kept;
};

/// @{ The JSON text of messages between entry VMs. Reading fails with the reason.
std::string toJson(const RelayQuestion &question);
std::string toJson(const RelayAnswer &answer);
std::string toJson(const decision::EntryVm &vm);
Result<RelayQuestion, std::string> relayQuestionFrom(const std::string &json);
Result<RelayAnswer, std::string> relayAnswerFrom(const std::string &json);
Result<decision::EntryVm, std::string> entryVmFrom(const std::string &json);
/// @}

} // namespace auburndrum::gateway
