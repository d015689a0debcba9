#pragma once

#include <boost/outcome.hpp>

namespace auburndrum::entry {

/// Why a call to another entry VM returned no result.
enum class EntryError {
    Unreachable, ///< no connection; nothing was sent
    Unanswered, ///< no complete response; the call may have taken effect
    Unauthorized, ///< the peer's fleet secret differs
    Refused, ///< the peer can't serve the call at present
    Malformed, ///< the request or the response can't be parsed
};

/// Short name of an error for logs.
const char *toText(EntryError error);

template<typename T>
using EntryResult = boost::outcome_v2::result<T, EntryError, boost::outcome_v2::policy::all_narrow>;

} // namespace auburndrum::entry
