#pragma once

namespace auburndrum::cli {

/// Exit codes of the program, part of its interface; listed by `auburndrum help`.
enum class ExitCode {
    Done = 0,
    Failed = 1, ///< an answer that no other code fits
    Usage = 2, ///< wrong command line or invalid document; nothing was sent
    Unreachable = 3, ///< no daemon answered; nothing was done
    Beaten = 4, ///< another version had replaced the base
    Unknown = 5, ///< the order may be in effect; ask again
    NotAllowed = 6, ///< key missing, unknown or not the owner's
    NotFound = 7,
};

} // namespace auburndrum::cli
