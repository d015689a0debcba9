#pragma once

#include <chrono>

namespace auburndrum::gateway {

/// @brief Divides the time in which each VM must apply a change of the store among the steps of reading it.
///
/// A change is missed at first when it is written just after the store's last answer. The next answer is due `refreshInterval` after that one. It may be
/// lost, and so may the answer to its repeat; each is noticed `answerTime` after it was due, and the second repeat takes as long at most. Reads through a
/// relay are repeated at the store itself in the same way, so a relay that is gone, stands still or has lost the store adds nothing.
struct ReadBudget
{
    /// Budget for changes that must be in force this long after the store acknowledged them.
    static ReadBudget of(std::chrono::milliseconds bound);

    /// The longest time from the acknowledgement of a change until it is applied, with two lost answers.
    std::chrono::milliseconds longest() const;

    std::chrono::milliseconds refreshInterval{1500}; ///< from one answer of the store until the next is due
    std::chrono::milliseconds relayReadTime{1000}; ///< the same for a VM that is a relay, so that the others seldom have to read for themselves
    std::chrono::milliseconds answerTime{250}; ///< after an answer was due, until its read is repeated
    std::chrono::milliseconds pollInterval{200}; ///< between two polls of a relay
    std::chrono::milliseconds applyTime{250}; ///< reserve for a late event loop
};

} // namespace auburndrum::gateway
