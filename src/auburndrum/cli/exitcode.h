#pragma once

namespace auburndrum::cli {

/// Exit codes of the program, part of its interface; listed by `auburndrum help`.
enum class ExitCode {
    Done = 0,
    Failed = 1, ///< an error that no other code describes
    Usage = 2, ///< wrong command line or invalid document; nothing was sent
    Unreachable = 3, ///< no daemon answered; nothing was done
    Superseded = 4, ///< the base version had already been replaced by another one
    Unknown = 5, ///< the request may have taken effect; query again
    NotAllowed = 6, ///< key missing, unknown or not the owner's
    NotFound = 7,
};

} // namespace auburndrum::cli
