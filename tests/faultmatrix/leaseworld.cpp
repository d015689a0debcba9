#include "leaseworld.h"

#include "virtualtime.h"

#include "auburndrum/decision/leaseholder.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace faultmatrix {

using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr auto TickInterval = 250ms;
constexpr auto PauseTime = 40s;
constexpr auto LateDelay = 20s;
constexpr auto OrderTimeout = 5000ms;
constexpr auto StandbyDelay = 500ms;
constexpr auto EndTime = 150s;
const std::string ResourceName = "orders/menu";

class LeaseWorld
{
public:
    LeaseWorld(std::vector<LeaseStrike> strikes, LeaseMutation mutation)
        : m_strikes(std::move(strikes))
        , m_mutation(mutation)
    {
        for (std::size_t it = 0; it < m_entries.size(); ++it) {
            restart(it);
            m_time.after(0ms, [this, it] {
                tick(it);
            });
        }
    }

    LeaseJudgement run()
    {
        m_time.run();
        // The order given again and again has mended what a late one did.
        check(m_plainServer == m_highestArrived, "a server that ignores fencing is left in a stale condition");
        check(m_highestArrived > 0, "nobody could give orders");
        return m_judgement;
    }

private:
    struct Entry
    {
        std::optional<LeaseHolder> holder;
        std::size_t position = 0; ///< entries of the log read
        LeaseTable table;
        int incarnation = 0;
        Instant pausedUntil;
        Instant cutUntil;
        Instant heldSince;
    };

    void restart(std::size_t n)
    {
        Entry &it = m_entries[n];
        ++it.incarnation;
        it.position = 0;
        it.table = LeaseTable();
        const std::string name = "entry" + std::to_string(n) + "/" + std::to_string(it.incarnation);
        auto newNonce = [name, count = 0]() mutable {
            return name + "/" + std::to_string(++count);
        };
        it.holder.emplace(LeaseHolderOptions{.resource = ResourceName,
                                             .incarnation = name,
                                             .newNonce = newNonce,
                                             .orderTimeout = OrderTimeout,
                                             .takeoverDelay = n * std::chrono::milliseconds(StandbyDelay)},
                          m_time.now());
    }

    void onEntry(std::size_t n, std::chrono::milliseconds delay, std::function<void()> action)
    {
        const int incarnation = m_entries[n].incarnation;
        m_time.after(delay, [this, n, incarnation, action = std::move(action)]() mutable {
            const Entry &it = m_entries[n];
            if (it.incarnation != incarnation) {
                return;
            }
            if (m_time.now() < it.pausedUntil) {
                onEntry(n, std::chrono::ceil<std::chrono::milliseconds>(it.pausedUntil - m_time.now()), std::move(action));
                return;
            }
            action();
        });
    }

    LeaseFault strike(std::size_t n, LeaseStep step)
    {
        for (LeaseStrike &it : m_strikes) {
            if (n != 0 || it.step != step || it.fault == LeaseFault::None) {
                continue;
            }
            if (it.skip > 0) {
                --it.skip;
                continue;
            }
            const LeaseFault fault = std::exchange(it.fault, LeaseFault::None);
            hit(n, fault);
            return fault;
        }
        return LeaseFault::None;
    }

    void hit(std::size_t n, LeaseFault fault)
    {
        if (fault == LeaseFault::Kill) {
            restart(n);
            onEntry(n, TickInterval, [this, n] {
                tick(n);
            });
        }
        if (fault == LeaseFault::Pause) {
            m_entries[n].pausedUntil = m_time.now() + PauseTime;
        }
        if (fault == LeaseFault::ZoneCut) {
            m_entries[n].cutUntil = m_time.now() + PauseTime;
        }
    }

    void tick(std::size_t n)
    {
        const int incarnation = m_entries[n].incarnation;
        const bool isStopped = strike(n, LeaseStep::BeforeTick) == LeaseFault::Pause;
        if (m_entries[n].incarnation == incarnation && !isStopped) {
            work(n);
        }
        if (m_entries[n].incarnation == incarnation && m_time.now() < TimeStart + EndTime) {
            onEntry(n, TickInterval, [this, n] {
                tick(n);
            });
        }
    }

    void work(std::size_t n)
    {
        const int incarnation = m_entries[n].incarnation;
        const bool isLogUp = m_time.now() >= m_entries[n].cutUntil;
        if (isLogUp && !readLog(n)) {
            return;
        }
        const auto record = m_entries[n].holder->tick(m_time.now());
        if (record && isLogUp) {
            append(n, *record);
        }
        const bool isAlive = m_entries[n].incarnation == incarnation && m_time.now() >= m_entries[n].pausedUntil;
        if (isAlive) {
            order(n);
        }
    }

    bool readLog(std::size_t n)
    {
        Entry &it = m_entries[n];
        const int incarnation = it.incarnation;
        while (it.position < m_log.size()) {
            const bool isStopped = strike(n, LeaseStep::BeforeFold) == LeaseFault::Pause;
            if (isStopped || it.incarnation != incarnation) {
                return false;
            }
            it.table.apply(it.position + 1, m_log[it.position]);
            ++it.position;
            const bool wasHolder = it.holder->fencingNumber(m_time.now()).has_value();
            it.holder->onLeaseChanged(m_time.now(), it.table.find(ResourceName));
            it.heldSince = wasHolder ? it.heldSince : m_time.now();
        }
        return true;
    }

    void append(std::size_t n, const LeaseRecord &record)
    {
        const LeaseFault fault = strike(n, LeaseStep::AppendLease);
        if (fault == LeaseFault::Refuse || fault == LeaseFault::Silent) {
            return;
        }
        const std::chrono::milliseconds late = LateDelay;
        m_time.after(fault == LeaseFault::ApplyLate ? late : 5ms, [this, record] {
            m_log.push_back(record);
        });
    }

    std::optional<Offset> rightToOrder(std::size_t n) const
    {
        const Entry &it = m_entries[n];
        auto fencing = it.holder->fencingNumber(m_time.now());
        if (!fencing && m_mutation.overstays) {
            fencing = it.holder->fencingNumber(it.heldSince + OrderTimeout);
        }
        if (!fencing && m_mutation.successorHurries) {
            fencing = it.holder->fencingNumber(m_time.now() + OrderTimeout);
        }
        return fencing;
    }

    void order(std::size_t n)
    {
        const auto fencing = rightToOrder(n);
        if (!fencing) {
            return;
        }
        check(!rightToOrder(1 - n).has_value(), "two holders may give orders at once");
        const LeaseFault fault = strike(n, LeaseStep::BeforeOrder);
        const bool isStopped = fault == LeaseFault::Pause;
        const auto arrive = [this, fencing, isStopped] {
            arrived(*fencing, isStopped);
        };
        if (isStopped) {
            onEntry(n, 5ms, arrive);
            return;
        }
        m_time.after(fault == LeaseFault::OrderLate ? OrderTimeout : 5ms, arrive);
    }

    void arrived(Offset fencing, bool wasStopped)
    {
        ++m_judgement.orders;
        // Only a pause between check and sending may bring an order after its successor's.
        const bool isOvertaken = fencing < m_highestArrived && holderOf(fencing) != holderOf(m_highestArrived);
        check(!isOvertaken || wasStopped, "an order arrived after one of the next holder");
        m_plainServer = fencing;
        const bool isAccepted = fencing >= m_checkingServer || m_mutation.serverIgnoresFencing;
        check(!isAccepted || fencing >= m_checkingServer, "a stale order was accepted");
        m_checkingServer = isAccepted ? fencing : m_checkingServer;
        m_highestArrived = std::max(m_highestArrived, fencing);
    }

    const std::string &holderOf(Offset fencing) const
    {
        return m_log[fencing - 1].holder;
    }

    void check(bool isTrue, const std::string &what)
    {
        ++m_judgement.checks;
        if (!isTrue) {
            m_judgement.violations.push_back(what);
        }
    }

    std::vector<LeaseStrike> m_strikes;
    LeaseMutation m_mutation;
    VirtualTime m_time;
    std::array<Entry, 2> m_entries;
    std::vector<LeaseRecord> m_log;
    Offset m_plainServer = 0;
    Offset m_checkingServer = 0;
    Offset m_highestArrived = 0;
    LeaseJudgement m_judgement;
};

} // namespace

LeaseJudgement runLeases(std::vector<LeaseStrike> strikes, const LeaseMutation &mutation)
{
    return LeaseWorld(std::move(strikes), mutation).run();
}

} // namespace faultmatrix
