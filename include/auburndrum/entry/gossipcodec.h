#pragma once

#include "auburndrum/decision/gossipdelta.h"
#include "auburndrum/entry/entryerror.h"

#include <string>
#include <string_view>

namespace auburndrum::entry {

/// Writes a message as the JSON parameters or result of the `gossip` call.
std::string encodeGossip(const decision::GossipMessage &message);

/// Reads what encodeGossip() wrote. Facts of an unknown kind are left out, so that a newer peer can add some.
EntryResult<decision::GossipMessage> decodeGossip(std::string_view json);

} // namespace auburndrum::entry
