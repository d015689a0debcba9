#pragma once

#include "auburndrum/caller/callercontext.h"

#include <functional>
#include <optional>

namespace auburndrum::caller {

/// Queries a backend server of a plain service for the outcome of a key. Passes nullopt if the server doesn't know the key
/// or can't be reached.
void lookUpOutcome(CallerContext &context,
                   const decision::ClaimKey &key,
                   const std::string &nonce,
                   const std::string &path,
                   std::function<void(const std::optional<decision::Outcome> &)> onDone);

} // namespace auburndrum::caller
