#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace faultmatrix {

/// What can go wrong at one step of a lease.
enum class LeaseFault {
    None,
    Kill, ///< the process dies and comes back with a new incarnation
    Pause, ///< the process stops for longer than its lease
    ZoneCut, ///< the zone does not reach the log for longer than its lease
    Refuse, ///< the log refuses without effect
    ApplyLate, ///< the lease record is taken after every time out
    Silent, ///< no effect, no reply
    OrderLate, ///< the order is under way for the longest order time out
};
constexpr int LeaseFaults = 8;

/// Steps at which a fault may strike.
enum class LeaseStep {
    BeforeTick,
    AppendLease,
    BeforeFold,
    BeforeOrder, ///< between the check of the right to order and the sending
};
constexpr int LeaseSteps = 4;

/// A fault at one of the times that the first holder comes to a step.
struct LeaseStrike
{
    LeaseStep step = LeaseStep::BeforeTick;
    LeaseFault fault = LeaseFault::None;
    std::size_t skip = 0; ///< times that it comes there unharmed before
};

/// Broken variants around the shipped code.
struct LeaseMutation
{
    bool overstays = false; ///< a holder's clock stands still after it got the lease
    bool successorHurries = false; ///< a successor does not wait for the longest order time out
    bool serverIgnoresFencing = false;
};

struct LeaseJudgement
{
    std::vector<std::string> violations;
    std::uint64_t checks = 0;
    std::uint64_t orders = 0;
};

/// Two holders compete for one lease and give orders to a server that checks fencing numbers and one that does not.
LeaseJudgement runLeases(std::vector<LeaseStrike> strikes, const LeaseMutation &mutation);

} // namespace faultmatrix
