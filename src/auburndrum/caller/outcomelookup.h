#pragma once

#include "auburndrum/caller/callercontext.h"

#include <functional>
#include <optional>

namespace auburndrum::caller {

/// Asks any backend server of a plain service for the outcome of a key; nothing when it doesn't know or can't be asked.
void lookUpOutcome(CallerContext &context,
                   const decision::ClaimKey &key,
                   const std::string &nonce,
                   const std::string &path,
                   std::function<void(const std::optional<decision::Outcome> &)> onDone);

} // namespace auburndrum::caller
