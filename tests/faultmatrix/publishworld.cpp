#include "publishworld.h"

#include "auburndrum/decision/logfold.h"
#include "auburndrum/decision/publishcall.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace faultmatrix {

using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr auto PublishTimeout = 10s;
constexpr auto LateDelay = 12s;
constexpr auto PauseTime = 30s;
constexpr auto OutageTime = 8s;
constexpr auto TickInterval = 500ms;
constexpr auto EndTime = 200s;
constexpr auto AskAgainAt = 120s;
constexpr Offset FirstVersion = 1;
const std::string DocumentName = "service/menu";

class PublishWorld
{
public:
    PublishWorld(std::vector<PublishStrike> strikes, PublishMutation mutation)
        : m_strikes(std::move(strikes))
        , m_mutation(mutation)
    {
        commit({PublishRecord{DocumentName, 0, "first", "r0", "ana"}});
        for (std::size_t it = 0; it < m_entries.size(); ++it) {
            m_time.after(0ms, [this, it] {
                tick(it);
            });
        }
    }

    PublishJudgement run(std::chrono::milliseconds rivalAt)
    {
        m_time.after(1s, [this] {
            start(0, "rA");
        });
        m_time.after(1s + rivalAt, [this] {
            start(1, "rB");
        });
        m_time.after(AskAgainAt, [this] {
            start(0, "rA");
        });
        m_time.run();
        checkEnd();
        return m_judgement;
    }

private:
    struct Entry
    {
        LogFold fold;
        Offset lastVersion = 0;
        int incarnation = 0;
        Instant pausedUntil;
        Instant cutUntil;
        std::optional<PublishCall> call;
        int attempt = 0; ///< number of the publish under way
    };

    struct Told
    {
        std::string requestId;
        int attempt = 0;
        PublishAnswer answer;
    };

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

    PublishFault strike(std::size_t n, PublishStep step)
    {
        for (PublishStrike &it : m_strikes) {
            if (n != 0 || it.step != step || it.fault == PublishFault::None) {
                continue;
            }
            const PublishFault fault = std::exchange(it.fault, PublishFault::None);
            hit(n, fault);
            return fault;
        }
        return PublishFault::None;
    }

    void hit(std::size_t n, PublishFault fault)
    {
        Entry &it = m_entries[n];
        if (fault == PublishFault::Kill) {
            it.fold = LogFold();
            it.lastVersion = 0;
            it.call.reset();
            ++it.incarnation;
            onEntry(n, TickInterval, [this, n] {
                tick(n);
            });
        }
        if (fault == PublishFault::Pause) {
            it.pausedUntil = m_time.now() + PauseTime;
        }
        if (fault == PublishFault::ZoneCut) {
            it.cutUntil = m_time.now() + OutageTime;
        }
        if (fault == PublishFault::LogOutage) {
            m_logDownUntil = m_time.now() + OutageTime;
        }
    }

    void start(std::size_t n, const std::string &requestId)
    {
        const PublishFault fault = strike(n, PublishStep::BeforeStart);
        if (fault == PublishFault::Pause) {
            onEntry(n, 0ms, [this, n, requestId] {
                start(n, requestId);
            });
            return;
        }
        Entry &it = m_entries[n];
        it.attempt = ++m_attempts;
        it.call.emplace(PublishRecord{DocumentName, FirstVersion, "body of " + requestId, requestId, "ana"}, m_time.now() + PublishTimeout);
        const auto answer = it.call->start(it.fold.config(), isLogUp(n));
        if (answer) {
            judge(n, *answer);
            return;
        }
        append(n, requestId);
    }

    void append(std::size_t n, const std::string &requestId)
    {
        const PublishFault fault = strike(n, PublishStep::Append);
        const LogRecord record = PublishRecord{DocumentName, FirstVersion, "body of " + requestId, requestId, "ana"};
        if (fault == PublishFault::Refuse) {
            give(n, m_entries[n].call->onAppendRefused());
            return;
        }
        if (fault == PublishFault::Silent) {
            return;
        }
        const std::chrono::milliseconds late = LateDelay;
        const auto delay = fault == PublishFault::ApplyLate ? late : (fault == PublishFault::Slow ? 1000ms : 5ms);
        const int attempt = m_entries[n].attempt;
        m_time.after(delay, [this, record, attempt] {
            commit({record});
            m_taken.insert(attempt);
        });
        if (m_mutation.acceptsOnReply && fault != PublishFault::LoseReply && fault != PublishFault::ApplyLate) {
            onEntry(n, delay, [this, n] {
                judge(n, {PublishAnswer::Kind::Accepted, m_log.size()});
            });
        }
    }

    void commit(const std::vector<LogRecord> &records)
    {
        m_log.push_back(encodeEntry(records));
        m_times.push_back(m_time.wall());
    }

    bool isLogUp(std::size_t n) const
    {
        return m_time.now() >= m_logDownUntil && m_time.now() >= m_entries[n].cutUntil;
    }

    void tick(std::size_t n)
    {
        Entry &it = m_entries[n];
        const int incarnation = it.incarnation;
        if (isLogUp(n)) {
            readLog(n);
        }
        if (it.call && it.incarnation == incarnation) {
            auto answer = it.call->tick(m_time.now());
            if (answer && m_mutation.refusesOnTimeout) {
                answer->kind = PublishAnswer::Kind::NotAppended;
            }
            give(n, answer);
        }
        if (m_time.now() < TimeStart + EndTime && it.incarnation == incarnation) {
            onEntry(n, TickInterval, [this, n] {
                tick(n);
            });
        }
    }

    void readLog(std::size_t n)
    {
        Entry &it = m_entries[n];
        const int incarnation = it.incarnation;
        while (it.incarnation == incarnation && it.fold.offset() < m_log.size()) {
            if (strike(n, PublishStep::BeforeReadBack) == PublishFault::Pause || it.incarnation != incarnation) {
                return;
            }
            const Offset offset = it.fold.offset() + 1;
            it.fold.applyEntry(offset, m_times[offset - 1], m_log[offset - 1]);
            checkFold(it);
            const bool isStopped = it.call && strike(n, PublishStep::AfterReadBack) == PublishFault::Pause;
            if (isStopped || it.incarnation != incarnation) {
                return;
            }
            give(n, it.call ? it.call->onFoldAdvanced(it.fold.config()) : std::nullopt);
        }
        if (m_mutation.adoptsLower && m_log.size() > 1) {
            it.fold = LogFold();
            it.fold.applyEntry(1, m_times[0], m_log[0]);
            checkFold(it);
        }
    }

    void checkFold(Entry &entry)
    {
        const Offset version = entry.fold.config().version(DocumentName);
        check(version >= entry.lastVersion, "a version fell");
        entry.lastVersion = version;
        const auto [it, isNew] = m_versions.try_emplace(entry.fold.offset(), version);
        check(isNew || it->second == version, "folds of one offset differ");
    }

    void give(std::size_t n, const std::optional<PublishAnswer> &answer)
    {
        if (answer) {
            judge(n, *answer);
        }
    }

    void judge(std::size_t n, PublishAnswer answer)
    {
        m_answers.push_back({m_entries[n].call->record().requestId, m_entries[n].attempt, answer});
    }

    void check(bool isTrue, const std::string &what)
    {
        ++m_judgement.checks;
        if (!isTrue) {
            m_judgement.violations.push_back(what);
        }
    }

    void checkEnd()
    {
        LogFold whole;
        for (std::size_t it = 0; it < m_log.size(); ++it) {
            whole.applyEntry(it + 1, m_times[it], m_log[it]);
        }
        for (const Entry &it : m_entries) {
            check(it.fold.snapshot() == whole.snapshot(), "an entry VM did not reach the end of the log");
        }
        int accepted = 0;
        for (const auto &[requestId, attempt, answer] : m_answers) {
            const bool isInForce = whole.config().body(DocumentName) == "body of " + requestId;
            const bool isAccepted = answer.kind == PublishAnswer::Kind::Accepted;
            accepted += isAccepted ? 1 : 0;
            check(!isAccepted || isInForce, "told 'accepted', but not in force");
            check(answer.kind != PublishAnswer::Kind::Conflict || !isInForce, "told 'beaten', but in force");
            check(answer.kind != PublishAnswer::Kind::NotAppended || !m_taken.contains(attempt), "told 'refused', but in the log");
        }
        check(accepted <= 2, "accepted more often than asked");
        checkStarter(whole);
    }

    // Starts where the first entries were cut: finds the snapshot, then reads on.
    void checkStarter(const LogFold &whole)
    {
        LogFold head;
        head.applyEntry(1, m_times[0], m_log[0]);
        commit({head.snapshot()});
        LogFold starter;
        starter.startSnapshotSearch();
        for (Offset it = 2; it <= m_log.size() && starter.isSearchingSnapshot(); ++it) {
            starter.applyEntry(it, m_times[it - 1], m_log[it - 1]);
        }
        while (starter.offset() + 1 < m_log.size()) {
            const Offset it = starter.offset() + 1;
            starter.applyEntry(it, m_times[it - 1], m_log[it - 1]);
        }
        check(starter.snapshot() == whole.snapshot(), "a start from the cut log differs");
    }

    std::vector<PublishStrike> m_strikes;
    PublishMutation m_mutation;
    VirtualTime m_time;
    std::vector<std::string> m_log;
    std::vector<WallTime> m_times;
    Instant m_logDownUntil;
    std::array<Entry, 2> m_entries;
    std::map<Offset, Offset> m_versions;
    std::vector<Told> m_answers;
    std::set<int> m_taken; ///< attempts whose record came into the log
    int m_attempts = 0;
    PublishJudgement m_judgement;
};

} // namespace

PublishJudgement runPublishes(std::vector<PublishStrike> strikes, std::chrono::milliseconds rivalAt, const PublishMutation &mutation)
{
    return PublishWorld(std::move(strikes), mutation).run(rivalAt);
}

} // namespace faultmatrix
