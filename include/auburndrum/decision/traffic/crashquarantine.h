#pragma once

#include "auburndrum/decision/traffic/crashevidence.h"
#include "auburndrum/decision/traffic/recentresponses.h"
#include "auburndrum/decision/traffic/requestmarks.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace auburndrum::decision {

/// Options of a CrashQuarantine.
struct CrashQuarantineOptions
{
    std::string vm; ///< name of this entry VM
    std::size_t minCrashes = 3; ///< crashes in a row, without a whole response between them, after which a mark is kept away
    std::size_t minCrashesOfServedMark = 5; ///< the same for a mark that had a whole response before
    std::chrono::milliseconds settleTime{500}; ///< a crash counts once the other VMs' reports on it, and responses that were under way, have had this time
    std::chrono::milliseconds evidenceLifetime{120000}; ///< older crashes are forgotten
    std::chrono::milliseconds firstHold{60000}; ///< time until one request with a mark that is kept away is tried; doubles each time that it crashes its server
    std::chrono::milliseconds maxHold{900000};
    std::chrono::milliseconds trialInterval{10000}; ///< between the trials of two VMs, when the first one's has no outcome
    std::size_t maxCrashes = 64; ///< crashes that are remembered
    std::size_t maxMarksPerCrash = 256;
    std::size_t maxVerdicts = 64;
};

/// Whether a request may be sent.
enum class CrashAdmission : std::uint8_t {
    Allowed,
    Trial, ///< its mark is kept away, and this request finds out whether it still crashes its server
    Refused,
};

/// Why a request may or may not be sent.
struct CrashDecision
{
    CrashAdmission admission = CrashAdmission::Allowed;
    std::string mark; ///< what is kept away; empty when the request is allowed
    std::string verdict; ///< id of the decision
    std::chrono::milliseconds age{0}; ///< time since the decision
    std::chrono::milliseconds retryAfter{0}; ///< time until a request with the mark may be tried
};

/// @brief Finds what the requests under which backend servers crash have in common, and keeps requests with that mark away from the servers.
///
/// A mark is a part of a prompt or a whole request that comes again. A crash names every mark of every request that was lost in it, so most of what it names is
/// sound. A mark is told apart by what happened to its other requests: a sound one soon gets a whole response elsewhere, from any entry VM; one that crashes
/// its servers never does. A mark is kept away after several crashes in a row, each under a request that was sent after the crash before, so that servers which
/// end at the same moment count once. The mark that was there in most crashes explains them for all others. Entry VMs exchange what they saw (evidence(),
/// merge()); each decides for itself and takes over the others' decisions. A decision ends when the mark gets a whole response, or its crashes turn out to be
/// none; after a while one VM tries one request. All times are on the clock that counts suspension. Not thread-safe.
class CrashQuarantine
{
public:
    explicit CrashQuarantine(CrashQuarantineOptions options);

    /// Whether a request with these marks may be sent now.
    CrashDecision decide(const RequestMarks &marks, Instant now) const;
    /// Whether one of these marks was in the last crashes and has had no whole response since: the request is not to be repeated at another server.
    bool isSuspect(const RequestMarks &marks) const;

    /// A request is sent; `decision` is what decide() returned for it.
    void onSent(const CrashDecision &decision, Instant now);
    /// The connection to a server ended before the response did. A request whose events had been arriving for a while is not to be reported: a mark that
    /// crashes its server does so when the server begins to write.
    void onLost(const std::string &server, const RequestMarks &marks, Instant sentAt, Instant now);
    /// This VM turns out to have been cut off from all servers: what it lost since then says nothing about requests.
    void withdrawLosses(Instant since);
    /// The server refused a connection.
    void onRefusedConnection(const std::string &server, Instant now);
    /// A response of the server began. Refutes a crash that was reported before the request was sent.
    void onResponse(const std::string &server, Instant sentAt, Instant now);
    /// A whole response arrived. `isProven`: not only the close of the connection marked its end.
    void onWholeResponse(const std::string &server, const RequestMarks &marks, bool isProven, Instant now);

    /// What the other entry VMs need to know.
    CrashEvidence evidence(Instant now) const;
    /// Adds another VM's evidence; returns whether it says anything new.
    bool merge(const CrashEvidence &evidence, Instant now);
    /// Names of the entry VMs, this one included, which take turns in trials.
    void setVms(std::vector<std::string> vms);

    /// Decides anew; returns the verdicts that were made, taken over or lifted since the last call, for the log.
    std::vector<CrashVerdict> update(Instant now);
    /// Whether a mark that is kept away begins with this text.
    bool keepsAwayWithin(std::string_view scope) const;
    /// Number of different marks that are kept away.
    std::size_t keptAway() const;
    /// Time until evidence should be exchanged again; nothing while there is none.
    std::optional<std::chrono::milliseconds> exchangeInterval(Instant now) const;

private:
    struct Verdict
    {
        CrashVerdict verdict;
        Instant trialSentAt{};
        bool isReported = false; ///< whether update() has returned it
    };

    struct Case
    {
        std::size_t total = 0; ///< crashes that name the mark
        std::vector<const CrashReport *> chain; ///< of these, crashes under a request that was sent after the one before
    };

    Instant lastSuccess(const std::string &mark) const;
    /// Whether another mark that is kept away was in this crash.
    bool isExplained(const CrashReport &crash, std::string_view mark) const;
    /// The unexplained crashes reported up to `settledBefore` that name the mark and came after its last whole response.
    Case caseOf(const std::string &mark, Instant settledBefore = Instant::max()) const;
    bool isSufficient(const std::string &mark, const Case &it) const;
    /// Marks that may have enough crashes to be kept away.
    std::vector<std::string> openMarks() const;
    std::size_t crashesNaming(const std::string &mark) const;
    /// How likely the mark is the cause of its crashes; the greatest is kept away first.
    std::tuple<std::size_t, bool, MarkKind> likelihoodOf(const std::string &mark, const Case &it) const;
    void convict(const std::string &mark, const Case &it, Instant now);
    void lift(Verdict &it);
    /// Whether a crash that a decision rests on is none, or is explained by a mark that was in more crashes.
    bool isUnfounded(const std::string &server, const std::string &mark) const;
    void liftUnfounded();
    void renew(Verdict &it, Instant now);
    void forgetOld(Instant now);
    bool mergeCrash(const CrashReport &crash);
    bool mergeSuccess(const MarkSuccess &success);
    bool mergeVerdict(const CrashVerdict &verdict);
    std::chrono::milliseconds trialDelay(const std::string &mark) const;
    std::string nextId(Instant now);

    CrashQuarantineOptions m_options;
    std::map<std::string, CrashReport> m_crashes; ///< by incarnation
    std::map<std::string, Instant> m_ownLosses; ///< by incarnation: when this VM last lost a connection there
    std::map<std::string, Verdict, std::less<>> m_verdicts; ///< by mark
    std::map<std::string, std::map<std::string, MarkSuccess>> m_successes; ///< of marks that crashes name: by mark and VM
    RecentResponses m_responses; ///< of all marks, this VM's own
    Instant m_lastResponseAt{}; ///< the last whole response to any request, from any VM
    std::vector<std::string> m_vms;
    std::uint64_t m_lastVerdict = 0;
};

} // namespace auburndrum::decision
