#pragma once

#include <boost/outcome.hpp>

namespace auburndrum::entry {

/// Why a call to another entry VM gave nothing.
enum class EntryError {
    Unreachable, ///< no connection; nothing was sent
    Unanswered, ///< no whole answer; the call may have taken effect
    Unauthorized, ///< the peer has another fleet secret
    Refused, ///< the peer can't do this now
    Malformed, ///< the peer's answer or request can't be read
};

/// Short name of an error for logs.
const char *toText(EntryError error);

template<typename T>
using EntryResult = boost::outcome_v2::result<T, EntryError, boost::outcome_v2::policy::all_narrow>;

} // namespace auburndrum::entry
