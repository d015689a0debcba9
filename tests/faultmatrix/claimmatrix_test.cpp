#include "claimworld.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace faultmatrix;
using namespace std::chrono_literals;

namespace {

struct Totals
{
    std::uint64_t cells = 0;
    std::uint64_t checks = 0;
    std::uint64_t strikes = 0;
    std::set<std::string> violations;
};

// Peers' faults strike where a peer is asked, the others at every step.
std::vector<Strike> allStrikes()
{
    std::vector<Strike> strikes;
    for (int step = 0; step < Steps; ++step) {
        for (int fault = 1; fault < Faults; ++fault) {
            const Strike it{Step(step), Fault(fault)};
            const bool isPeers = it.fault >= Fault::Refuse && it.fault <= Fault::Silent;
            const bool asksPeer = it.step == Step::AppendClaim || it.step == Step::Dispatch || it.step == Step::AppendOutcome;
            if (!isPeers || asksPeer) {
                strikes.push_back(it);
            }
        }
    }
    return strikes;
}

Judgement runCell(const std::vector<Strike> &strikes, std::chrono::milliseconds rivalAt, const Mutation &mutation)
{
    ClaimWorld world(strikes, mutation);
    world.call(0, 0ms, "k1");
    world.call(1, rivalAt, "k1");
    world.call(0, 60s, "k1");
    return world.run();
}

void add(Totals &totals, const Judgement &judgement)
{
    ++totals.cells;
    totals.checks += judgement.checks;
    totals.strikes += judgement.strikes;
    totals.violations.insert(judgement.violations.begin(), judgement.violations.end());
}

const std::vector<std::chrono::milliseconds> RivalTimes = {0ms, 3ms, 700ms, 13s, 45s};

Totals runSingles(const Mutation &mutation)
{
    Totals totals;
    for (const Strike &it : allStrikes()) {
        for (const auto rivalAt : RivalTimes) {
            add(totals, runCell({it}, rivalAt, mutation));
        }
    }
    return totals;
}

} // namespace

TEST_CASE("without a fault one call runs and the others get its answer")
{
    const Judgement judgement = runCell({}, 3s, {});
    CHECK(judgement.violations.empty());
    CHECK(judgement.executions.at("k1") == 1);
    CHECK(judgement.answers.at("n0") == AnswerKind::Fresh);
    CHECK(judgement.answers.at("n1") == AnswerKind::Replay);
    CHECK(judgement.answers.at("n2") == AnswerKind::Replay);
}

TEST_CASE("every fault at every step of a keyed call")
{
    Totals totals;
    for (const Strike &it : allStrikes()) {
        for (const auto rivalAt : RivalTimes) {
            const Judgement judgement = runCell({it}, rivalAt, {});
            CAPTURE(int(it.step));
            CAPTURE(int(it.fault));
            CAPTURE(rivalAt.count());
            CHECK(judgement.checks > 0);
            CHECK(judgement.violations == std::vector<std::string>{});
            // A rival that is first leaves nothing for the later steps to do.
            CHECK((judgement.strikes == 1 || rivalAt < 700ms));
            add(totals, judgement);
        }
    }
    MESSAGE("cells " << totals.cells << ", faults struck " << totals.strikes << ", checks " << totals.checks);
}

TEST_CASE("every pair of faults at every pair of steps")
{
    Totals totals;
    for (const Strike &first : allStrikes()) {
        for (const Strike &second : allStrikes()) {
            const Judgement judgement = runCell({first, second}, 3ms, {});
            CAPTURE(int(first.step));
            CAPTURE(int(first.fault));
            CAPTURE(int(second.step));
            CAPTURE(int(second.fault));
            REQUIRE(judgement.checks > 0);
            REQUIRE(judgement.violations == std::vector<std::string>{});
            add(totals, judgement);
        }
    }
    MESSAGE("cells " << totals.cells << ", faults struck " << totals.strikes << ", checks " << totals.checks);
}

TEST_CASE("broken variants are caught")
{
    CHECK(runSingles({.trustsAppendReply = true}).violations.contains("executed more than once"));
    CHECK(runSingles({.ignoresVerdict = true}).violations.contains("executed more than once"));
    CHECK(runSingles({.ignoresDeadline = true}).violations.contains("dispatched after its deadline"));
    CHECK(runSingles({.retriesAfterByte = true}).violations.contains("executed more than once"));
    CHECK(runSingles({.dispatchesAbandoned = true}).violations.contains("sent after 'not run'"));
}

TEST_CASE("random histories of calls and faults")
{
    // Set here, so that every run takes the same histories.
    ::setenv("RC_PARAMS", "seed=20261203 max_success=2000", 1);
    const bool holds = rc::check("claims", [] {
        const std::vector<Strike> strikes = allStrikes();
        std::vector<Strike> chosen;
        const auto n = *rc::gen::inRange<std::size_t>(0, 6);
        chosen.reserve(n);
        for (std::size_t it = 0; it < n; ++it) {
            chosen.push_back(strikes[*rc::gen::inRange<std::size_t>(0, strikes.size())]);
        }
        ClaimWorld world(chosen, {});
        const int calls = *rc::gen::inRange(1, 12);
        for (int it = 0; it < calls; ++it) {
            const auto at = std::chrono::milliseconds(*rc::gen::inRange(0, 60000));
            world.call(*rc::gen::inRange<std::size_t>(0, 2), at, "k" + std::to_string(*rc::gen::inRange(0, 3)));
        }
        const Judgement judgement = world.run();
        RC_ASSERT(judgement.checks > 0);
        RC_ASSERT(judgement.violations == std::vector<std::string>{});
    });
    CHECK(holds);
}
