#include "publishworld.h"

#include <doctest/doctest.h>

#include <set>

using namespace faultmatrix;
using namespace std::chrono_literals;

namespace {

struct Totals
{
    std::uint64_t cells = 0;
    std::uint64_t checks = 0;
    std::set<std::string> violations;
};

std::vector<PublishStrike> allStrikes()
{
    std::vector<PublishStrike> strikes;
    for (int step = 0; step < PublishSteps; ++step) {
        for (int fault = 1; fault < PublishFaults; ++fault) {
            const PublishStrike it{PublishStep(step), PublishFault(fault)};
            const bool isLogs = it.fault >= PublishFault::Refuse;
            if (!isLogs || it.step == PublishStep::Append) {
                strikes.push_back(it);
            }
        }
    }
    return strikes;
}

constexpr PublishStrike NoStrike{};

Totals runAll(std::vector<PublishStrike> seconds, const PublishMutation &mutation, bool isRight)
{
    Totals totals;
    seconds.push_back(NoStrike);
    for (const PublishStrike &first : allStrikes()) {
        for (const PublishStrike &second : seconds) {
            for (const auto rivalAt : {0ms, 3ms, 2000ms, 13000ms}) {
                const PublishJudgement judgement = runPublishes({first, second}, rivalAt, mutation);
                CAPTURE(int(first.step));
                CAPTURE(int(first.fault));
                CAPTURE(int(second.step));
                CAPTURE(int(second.fault));
                CAPTURE(rivalAt.count());
                CHECK(judgement.checks > 0);
                if (isRight) {
                    CHECK(judgement.violations == std::vector<std::string>{});
                }
                ++totals.cells;
                totals.checks += judgement.checks;
                totals.violations.insert(judgement.violations.begin(), judgement.violations.end());
            }
        }
    }
    return totals;
}

} // namespace

TEST_CASE("every pair of faults at the steps of two racing publishes, and a start from the cut log")
{
    const Totals totals = runAll(allStrikes(), {}, true);
    MESSAGE("cells " << totals.cells << ", checks " << totals.checks);
}

TEST_CASE("broken publishers are caught")
{
    CHECK(runAll({}, {.acceptsOnReply = true}, false).violations.contains("told 'accepted', but not in force"));
    CHECK(runAll({}, {.refusesOnTimeout = true}, false).violations.contains("told 'refused', but in the log"));
    CHECK(runAll({}, {.adoptsLower = true}, false).violations.contains("a version fell"));
}
