#pragma once

#include "auburndrum/decision/gossipdelta.h"
#include "auburndrum/entry/entryerror.h"

#include <string>
#include <string_view>

namespace auburndrum::entry {

/// Writes a message as the JSON parameters or result of the `gossip` call.
std::string encodeGossip(const decision::GossipMessage &message);

/// Parses the output of encodeGossip(). Skips deltas of an unknown kind, so that newer peers can add kinds.
EntryResult<decision::GossipMessage> decodeGossip(std::string_view json);

} // namespace auburndrum::entry
