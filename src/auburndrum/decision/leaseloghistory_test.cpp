#include "auburndrum/decision/knownera.h"
#include "leaselogfixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <vector>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

// Guards against two processes that hold one lease at once, each by records that the other never read (ONE).

namespace {

constexpr unsigned EraShift = 40;
constexpr int HistoriesPerCheck = 20;

struct Entry
{
    LeaseRecord lease;
    std::uint64_t era = FirstEra; ///< in which its writer believed the log to be
};

/// A log that drops its history and returns from an older copy; entries are numbered from 0.
struct DroppingLog
{
    std::vector<Entry> entries;
    std::uint64_t first = 0; ///< of the entries that can still be read
    std::uint64_t era = FirstEra;

    std::uint64_t end() const
    {
        return entries.size();
    }
};

struct Write
{
    std::size_t writer = 0;
    int incarnation = 0; ///< of the writer
    std::uint64_t at = 0;
    Entry entry;
};

Offset fencingOf(std::uint64_t offset, const Entry &entry)
{
    return (entry.era << EraShift) + offset + 1;
}

/// Three processes that read and write the log, in any order and with any delay.
class World
{
public:
    World()
    {
        for (std::size_t n = 0; n < m_processes.size(); ++n) {
            restart(n);
        }
    }

    void pass(std::chrono::milliseconds time)
    {
        m_now += time;
    }

    void restart(std::size_t n)
    {
        Process &it = m_processes[n];
        ++it.incarnation;
        it.known = {};
        it.log.emplace(optionsOf("p" + std::to_string(n) + "." + std::to_string(it.incarnation)), m_now);
    }

    /// Another response than those about the leases names the era.
    void learnEra(std::size_t n)
    {
        m_processes[n].known.onResponse(m_now, m_log.era);
    }

    /// Reads up to `limit` entries.
    void read(std::size_t n, std::uint64_t limit)
    {
        LeaseLog &it = *m_processes[n].log;
        if (!it.acceptEra(m_now, m_log.era, m_processes[n].known.since(m_log.era))) {
            return;
        }
        if (it.nextOffset() < m_log.first) {
            it.onGap(m_now, m_log.first);
            return;
        }
        const std::uint64_t until = std::min(m_log.end(), it.nextOffset() + limit);
        if (it.nextOffset() == m_log.end()) {
            it.onEndRead();
        }
        for (std::uint64_t offset = it.nextOffset(); offset < until; ++offset) {
            apply(n, offset, m_log.entries[offset]);
        }
    }

    void requestLease(std::size_t n)
    {
        LeaseLog &it = *m_processes[n].log;
        if (const auto lease = it.tick(m_now)) {
            m_writes.push_back({n, m_processes[n].incarnation, it.nextOffset(), {*lease, it.era()}});
        }
    }

    void resign(std::size_t n)
    {
        LeaseLog &it = *m_processes[n].log;
        if (const auto lease = it.resign()) {
            m_writes.push_back({n, m_processes[n].incarnation, it.nextOffset(), {*lease, it.era()}});
        }
    }

    /// Carries out a write that is under way, at once or much later, and tells its writer unless the answer is lost.
    void write(std::size_t n, bool isAnswered)
    {
        if (m_writes.empty()) {
            return;
        }
        const auto it = m_writes.begin() + static_cast<std::ptrdiff_t>(n % m_writes.size());
        const Write write = *it;
        m_writes.erase(it);
        const bool isInPlace = write.at == m_log.end();
        if (isInPlace) {
            m_log.entries.push_back(write.entry);
        }
        Process &writer = m_processes[write.writer];
        if (!isAnswered || writer.incarnation != write.incarnation || !writer.log->acceptEra(m_now, m_log.era)) {
            return;
        }
        if (!isInPlace) {
            writer.log->onWriteRefused(write.entry.lease);
            writer.log->onBehind();
        } else if (writer.log->nextOffset() == write.at) {
            apply(write.writer, write.at, write.entry);
        }
    }

    void dropHistory()
    {
        m_log.first = m_log.end();
    }

    void makeCopy()
    {
        m_copy = m_log;
    }

    void restoreCopy()
    {
        const std::uint64_t era = m_log.era + 1;
        m_log = m_copy;
        m_log.era = era;
    }

    /// The processes that may give orders now.
    std::vector<std::size_t> holders() const
    {
        std::vector<std::size_t> holders;
        for (std::size_t n = 0; n < m_processes.size(); ++n) {
            if (m_processes[n].log->fencingNumber(m_now)) {
                holders.push_back(n);
            }
        }
        return holders;
    }

    Offset fencing(std::size_t n) const
    {
        return m_processes[n].log->fencingNumber(m_now).value_or(0);
    }

private:
    struct Process
    {
        std::optional<LeaseLog> log;
        KnownEra known;
        int incarnation = 0;
    };

    void apply(std::size_t n, std::uint64_t offset, const Entry &entry)
    {
        LeaseLog &it = *m_processes[n].log;
        if (it.acceptRecord(m_now, offset)) {
            it.onEraSettled(entry.era);
            it.onLease(m_now, fencingOf(offset, entry), entry.lease);
        }
    }

    Instant m_now = Begin;
    DroppingLog m_log;
    DroppingLog m_copy;
    std::array<Process, 3> m_processes;
    std::deque<Write> m_writes;
};

/// Runs random steps; returns how often a process held the lease.
int play(bool losesRecords)
{
    World world;
    Offset highest = 0;
    int held = 0;
    const int steps = *rc::gen::inRange(20, 300);
    for (int n = 0; n < steps; ++n) {
        const auto process = *rc::gen::inRange<std::size_t>(0, 3);
        const int kind = *rc::gen::inRange(0, losesRecords ? 21 : 18);
        if (kind < 4) {
            world.pass(std::chrono::milliseconds(*rc::gen::inRange(0, 150)));
        } else if (kind < 8) {
            world.read(process, *rc::gen::inRange<std::uint64_t>(1, 5));
        } else if (kind < 11) {
            world.requestLease(process);
        } else if (kind < 15) {
            world.write(*rc::gen::inRange<std::size_t>(0, 8), *rc::gen::inRange(0, 4) > 0);
        } else if (kind == 15) {
            world.resign(process);
        } else if (kind == 16) {
            world.restart(process);
        } else if (kind == 17) {
            world.learnEra(process);
        } else if (kind == 18) {
            world.dropHistory();
        } else if (kind == 19) {
            world.makeCopy();
        } else {
            world.restoreCopy();
        }
        const auto holders = world.holders();
        RC_ASSERT(holders.size() <= 1);
        for (const std::size_t it : holders) {
            RC_ASSERT(world.fencing(it) >= highest);
            highest = world.fencing(it);
            ++held;
        }
    }
    return held;
}

} // namespace

TEST_CASE("at most one process holds the lease, and fencing numbers never fall, whatever records are lost, late or read by some only")
{
    CHECK(rc::check([] {
        for (int n = 0; n < HistoriesPerCheck; ++n) {
            play(true);
        }
    }));
}

TEST_CASE("a process that first reads the log after it returned from an older copy holds no lease beside one whose lease is lost")
{
    for (const bool startsAfterReturn : {true, false}) {
        for (const bool isCopyEmpty : {true, false}) {
            CAPTURE(startsAfterReturn);
            CAPTURE(isCopyEmpty);
            World world;
            const auto takeTurn = [&world](std::size_t process) {
                world.read(process, 10);
                world.read(process, 10);
                world.requestLease(process);
                world.write(0, true);
            };
            world.makeCopy();
            while (world.holders().empty()) {
                world.pass(20ms);
                takeTurn(0);
            }
            if (!isCopyEmpty) {
                world.makeCopy();
                world.pass(100ms);
                takeTurn(0);
                REQUIRE(world.holders().size() == 1);
            }
            world.restoreCopy();
            if (startsAfterReturn) {
                world.restart(1);
            }
            for (int n = 0; n < 80; ++n) {
                takeTurn(1);
                CHECK(world.holders().size() <= 1);
                world.pass(10ms);
            }
            CHECK(world.holders() == std::vector<std::size_t>{1});
        }
    }
}

TEST_CASE("the lease is held in many of the random histories")
{
    // So that the property before isn't one of processes that never hold a lease.
    int held = 0;
    CHECK(rc::check([&held] {
        held += play(false) > 0 ? 1 : 0;
    }));
    CHECK(held >= 20);
}
