#include "auburndrum/decision/linkbudget.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <numeric>
#include <random>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};
constexpr double Rate = 1e6;
constexpr auto Tick = 10ms;
constexpr int TicksPerSecond = 100;
constexpr auto MaxViewDelay = 2s;

std::unique_ptr<LinkBudget> budget(const std::string &self)
{
    LinkBudgetOptions options;
    options.entryName = self;
    options.bytesPerSecond = Rate;
    return std::make_unique<LinkBudget>(options);
}

struct Entry
{
    std::string name;
    std::unique_ptr<LinkBudget> link;
    bool dead = false;
    Instant pausedUntil{};
    std::vector<std::string> view;
    int ticks = 0;
    Instant viewed{};
    Instant idleUntil{};
};

// Entry VMs of one zone that all request more than the link's rate. Each receives a change of the zone up to two
// seconds late, which is within the settle time that the budget relies on.
struct Zone
{
    void add(const std::string &name)
    {
        entries.push_back({name, budget(name), false, {}, {}, static_cast<int>(7 * entries.size()), {}, {}});
    }

    std::vector<std::string> live() const
    {
        std::vector<std::string> names;
        for (const Entry &it : entries) {
            if (!it.dead && it.pausedUntil <= now) {
                names.push_back(it.name);
            }
        }
        return names;
    }

    void step()
    {
        now += Tick;
        double sent = 0;
        for (Entry &it : entries) {
            if (it.dead || it.pausedUntil > now) {
                continue;
            }
            if (random() % TicksPerSecond == 0 || it.view.empty() || now - it.viewed >= MaxViewDelay) {
                it.view = live();
                it.viewed = now;
            }
            // A paused entry VM resumes in the middle of its work: it sends before it updates its view of the zone.
            const std::uint64_t wanted = it.idleUntil <= now ? 1'000'000 : 0;
            sent += static_cast<double>(it.link->acquire(wanted, TransferClass::Interactive, now));
            if (++it.ticks % (TicksPerSecond / 2) == 0) {
                it.link->setLiveEntries(it.view, now);
            }
        }
        window.push_back(sent);
        if (window.size() > TicksPerSecond) {
            window.pop_front();
        }
    }

    double lastSecond() const
    {
        return std::accumulate(window.begin(), window.end(), 0.0);
    }

    std::vector<Entry> entries;
    std::deque<double> window;
    std::mt19937_64 random{3};
    Instant now = Start;
};

} // namespace

TEST_CASE("link use stays within 105% in any second while entry VMs join, die, pause and resume")
{
    Zone zone;
    for (int n = 0; n < 5; ++n) {
        zone.add("entry-" + std::to_string(n));
    }
    double most = 0;
    for (int n = 0; n < 600 * TicksPerSecond; ++n) {
        zone.step();
        most = std::max(most, zone.lastSecond());
        REQUIRE(zone.lastSecond() <= 1.05 * Rate);
        Entry &one = zone.entries[zone.random() % zone.entries.size()];
        const auto chance = zone.random() % 4000;
        if (chance == 0 && zone.live().size() > 2) {
            one.dead = true;
        } else if (chance == 1) {
            one.pausedUntil = zone.now + std::chrono::seconds(zone.random() % 20);
        } else if (chance % 500 == 3) {
            one.idleUntil = zone.now + 1s;
        } else if (chance == 2 && zone.entries.size() < 40) {
            zone.add("entry-" + std::to_string(zone.entries.size()));
        }
    }
    CHECK(most >= 0.95 * Rate);
}

TEST_CASE("the slots of a dead entry VM pass to the others")
{
    Zone zone;
    zone.add("entry-1");
    zone.add("entry-2");
    zone.add("entry-3");
    for (int n = 0; n < 15 * TicksPerSecond; ++n) {
        zone.step();
    }
    CHECK(zone.lastSecond() >= 0.95 * Rate);
    zone.entries[0].dead = true;
    for (int n = 0; n < 2 * TicksPerSecond; ++n) {
        zone.step();
    }
    CHECK(zone.lastSecond() < 0.9 * Rate);
    for (int n = 0; n < 10 * TicksPerSecond; ++n) {
        zone.step();
    }
    CHECK(zone.lastSecond() >= 0.95 * Rate);
}

TEST_CASE("nothing is sent without a recent view of the zone")
{
    const auto link = budget("entry-1");
    CHECK(link->acquire(100, TransferClass::Interactive, Start) == 0);
    link->setLiveEntries({"entry-1"}, Start);
    link->setLiveEntries({"entry-1"}, Start + 2s);
    link->setLiveEntries({"entry-1"}, Start + 4s);
    link->setLiveEntries({"entry-1"}, Start + 6s);
    CHECK(link->acquire(100, TransferClass::Interactive, Start + 7s) == 100);
    CHECK(link->acquire(100, TransferClass::Interactive, Start + 9s) == 0);
}

TEST_CASE("interactive transfers have precedence over background ones")
{
    const auto link = budget("entry-1");
    Instant now = Start;
    double interactive = 0;
    double background = 0;
    for (int n = 0; n < 20 * TicksPerSecond; ++n) {
        now += 30ms;
        if (n % 30 == 0) {
            link->setLiveEntries({"entry-1"}, now);
        }
        background += static_cast<double>(link->acquire(100'000, TransferClass::Background, now));
        interactive += static_cast<double>(link->acquire(100'000, TransferClass::Interactive, now));
    }
    CHECK(interactive > 50 * background);
    now += 500ms;
    link->setLiveEntries({"entry-1"}, now);
    CHECK(link->acquire(100'000, TransferClass::Background, now) > 0);
}

TEST_CASE("a loan moves rate between entry VMs and expires at the borrower first")
{
    const auto lender = budget("entry-1");
    const auto borrower = budget("entry-2");
    Instant now = Start;
    for (; now < Start + 10s; now += 1s) {
        lender->setLiveEntries({"entry-1", "entry-2"}, now);
        borrower->setLiveEntries({"entry-1", "entry-2"}, now);
    }
    const double total = lender->rate(now) + borrower->rate(now);
    CHECK(total == doctest::Approx(Rate));
    const double before = lender->rate(now);
    const double lent = lender->lend(10 * Rate, 5s, now);
    CHECK(lent == doctest::Approx(before));
    CHECK(lender->rate(now) == 0);
    borrower->borrow(lent, 5s, now + 900ms);
    for (auto later = now + 900ms; later < now + 20s; later += 100ms) {
        CHECK(lender->rate(later) + borrower->rate(later) <= Rate * 1.0001);
    }
    CHECK(lender->rate(now + 10s) == doctest::Approx(before));
}
