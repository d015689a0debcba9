#include "leaseworld.h"

#include <doctest/doctest.h>

#include <set>

using namespace faultmatrix;

namespace {

std::vector<LeaseStrike> allStrikes()
{
    std::vector<LeaseStrike> strikes;
    for (int step = 0; step < LeaseSteps; ++step) {
        for (int fault = 1; fault < LeaseFaults; ++fault) {
            const LeaseStrike it{LeaseStep(step), LeaseFault(fault)};
            const bool isLogs = it.fault == LeaseFault::Refuse || it.fault == LeaseFault::ApplyLate || it.fault == LeaseFault::Silent;
            const bool isOrders = it.fault == LeaseFault::OrderLate;
            const bool fits = isLogs ? it.step == LeaseStep::AppendLease : !isOrders || it.step == LeaseStep::BeforeOrder;
            for (const std::size_t skip : {0, 1, 2, 5, 40}) {
                if (fits) {
                    strikes.push_back({it.step, it.fault, skip});
                }
            }
        }
    }
    return strikes;
}

// A holder that is cut off from the log, each of whose orders in turn is under way for the longest time.
std::vector<std::vector<LeaseStrike>> lateOrders()
{
    std::vector<std::vector<LeaseStrike>> cells;
    for (std::size_t skip = 0; skip < 120; ++skip) {
        cells.push_back({{LeaseStep::BeforeTick, LeaseFault::ZoneCut, 40}, {LeaseStep::BeforeOrder, LeaseFault::OrderLate, skip}});
    }
    return cells;
}

std::set<std::string> violationsOf(const LeaseMutation &mutation)
{
    std::vector<std::vector<LeaseStrike>> cells = lateOrders();
    for (const LeaseStrike &it : allStrikes()) {
        cells.push_back({it});
    }
    std::set<std::string> all;
    for (const auto &it : cells) {
        const LeaseJudgement judgement = runLeases(it, mutation);
        all.insert(judgement.violations.begin(), judgement.violations.end());
    }
    return all;
}

} // namespace

TEST_CASE("every pair of faults at the steps of a lease and its orders")
{
    std::uint64_t cells = 0;
    std::uint64_t checks = 0;
    std::uint64_t orders = 0;
    for (const LeaseStrike &first : allStrikes()) {
        for (const LeaseStrike &second : allStrikes()) {
            const LeaseJudgement judgement = runLeases({first, second}, {});
            CAPTURE(int(first.step));
            CAPTURE(int(first.fault));
            CAPTURE(first.skip);
            CAPTURE(int(second.step));
            CAPTURE(int(second.fault));
            CAPTURE(second.skip);
            REQUIRE(judgement.checks > 0);
            REQUIRE(judgement.violations == std::vector<std::string>{});
            ++cells;
            checks += judgement.checks;
            orders += judgement.orders;
        }
    }
    MESSAGE("cells " << cells << ", orders " << orders << ", checks " << checks);
}

TEST_CASE("no late order of a holder that lost touch arrives after one of the next holder")
{
    for (const auto &it : lateOrders()) {
        const LeaseJudgement judgement = runLeases(it, {});
        CAPTURE(it[1].skip);
        CHECK(judgement.violations == std::vector<std::string>{});
    }
}

TEST_CASE("broken holders and servers are caught")
{
    CHECK(violationsOf({.overstays = true}).contains("two holders may give orders at once"));
    CHECK(violationsOf({.successorHurries = true}).contains("an order arrived after one of the next holder"));
    CHECK(violationsOf({.serverIgnoresFencing = true}).contains("a stale order was accepted"));
}
