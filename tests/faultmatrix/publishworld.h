#pragma once

#include "virtualtime.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace faultmatrix {

/// What can go wrong at one step of a publish.
enum class PublishFault {
    None,
    Kill, ///< the process dies and comes back empty
    Pause, ///< the process stops for longer than every time out
    ZoneCut, ///< the zone does not reach the log for a while
    LogOutage, ///< nobody reaches the log for a while
    Refuse, ///< the log refuses without effect
    LoseReply, ///< the record is taken, the reply lost
    ApplyLate, ///< the same, after every time out
    Slow,
    Silent, ///< no effect, no reply
};
constexpr int PublishFaults = 10;

/// Steps of a publish at which a fault may strike.
enum class PublishStep {
    BeforeStart,
    Append,
    BeforeReadBack,
    AfterReadBack,
};
constexpr int PublishSteps = 4;

/// A fault at a step of the first operator's entry VM.
struct PublishStrike
{
    PublishStep step = PublishStep::BeforeStart;
    PublishFault fault = PublishFault::None;
};

/// Broken variants of the process around the shipped code.
struct PublishMutation
{
    bool acceptsOnReply = false; ///< tells "accepted" without reading back
    bool refusesOnTimeout = false; ///< tells "refused" when it does not know
    bool adoptsLower = false; ///< takes over a snapshot of a lower offset
};

struct PublishJudgement
{
    std::vector<std::string> violations;
    std::uint64_t checks = 0;
};

/// Two operators publish on one base at two entry VMs, the first one asks again by its request id, and a third entry VM
/// starts from a log whose head was cut.
PublishJudgement runPublishes(std::vector<PublishStrike> strikes, std::chrono::milliseconds rivalAt, const PublishMutation &mutation);

} // namespace faultmatrix
