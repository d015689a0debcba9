#pragma once

#include "auburndrum/decision/traffic/crashevidence.h"
#include "auburndrum/decision/traffic/prompt.h"
#include "auburndrum/decision/traffic/recentresponses.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Options of a PartQuarantine.
struct PartQuarantineOptions
{
    std::string vm; ///< name of this entry VM
    std::size_t minCrashes = 3; ///< crashes in a row, without a whole response between them, after which a part is kept away
    std::size_t minCrashesOfServedPart = 5; ///< the same for a part that had a whole response before
    std::chrono::milliseconds settleTime{500}; ///< a crash counts once the other VMs' reports on it, and responses that were under way, have had this time
    std::chrono::milliseconds evidenceLifetime{120000}; ///< older crashes are forgotten
    std::chrono::milliseconds firstHold{60000}; ///< time until one request with a part that is kept away is tried; doubles each time that it crashes its server
    std::chrono::milliseconds maxHold{900000};
    std::chrono::milliseconds trialInterval{10000}; ///< between the trials of two VMs, when the first one's has no outcome
    std::size_t maxCrashes = 64; ///< crashes that are remembered
    std::size_t maxPartsPerCrash = 256;
    std::size_t maxVerdicts = 64;
};

/// Whether a request may be sent.
enum class PartAdmission : std::uint8_t {
    Allowed,
    Trial, ///< its part is kept away, and this request finds out whether it still crashes its server
    Refused,
};

/// Why a request may or may not be sent.
struct PartDecision
{
    PartAdmission admission = PartAdmission::Allowed;
    std::string part; ///< the part that is kept away; empty when the request is allowed
    std::string verdict; ///< id of the decision
    std::chrono::milliseconds age{0}; ///< time since the decision
    std::chrono::milliseconds retryAfter{0}; ///< time until a request with the part may be tried
};

/// @brief Finds the prompt parts under which backend servers crash, and keeps requests with them away from the servers.
///
/// A crash names every shared part of every request that was lost in it, so most of what it names is sound. A part is told apart by what happened to its other
/// requests: a sound one soon gets a whole response elsewhere, from any entry VM; one that crashes its servers never does. A part is kept away after several
/// crashes in a row, each under a request that was sent after the crash before, so that servers which end at the same moment count once. The part that was
/// there in most crashes explains them for all others. Entry VMs exchange what they saw (evidence(), merge()); each decides for itself and takes over the
/// others' decisions. A decision ends when the part gets a whole response, or its crashes turn out to be none; after a while one VM tries one request.
/// All times are on the clock that counts suspension. Not thread-safe.
class PartQuarantine
{
public:
    explicit PartQuarantine(PartQuarantineOptions options);

    /// Whether a request with this prompt may be sent now.
    PartDecision decide(const Prompt &prompt, Instant now) const;
    /// Whether a part of this prompt was in the last crashes and has had no whole response since: the request is not to be repeated at another server.
    bool isSuspect(const Prompt &prompt) const;

    /// A request is sent; `decision` is what decide() returned for it.
    void onSent(const PartDecision &decision, Instant now);
    /// The connection to a server ended before the response did. A request whose events had been arriving for a while is not to be reported: a part that
    /// crashes its server does so when the server begins to write.
    void onLost(const std::string &server, const Prompt &prompt, Instant sentAt, Instant now);
    /// The server refused a connection.
    void onRefusedConnection(const std::string &server, Instant now);
    /// A response of the server began. Refutes a crash that was reported before the request was sent.
    void onResponse(const std::string &server, Instant sentAt, Instant now);
    /// A whole response arrived. `isProven`: not only the close of the connection marked its end.
    void onWholeResponse(const std::string &server, const Prompt &prompt, bool isProven, Instant now);

    /// What the other entry VMs need to know.
    CrashEvidence evidence(Instant now) const;
    /// Adds another VM's evidence; returns whether it says anything new.
    bool merge(const CrashEvidence &evidence, Instant now);
    /// Names of the entry VMs, this one included, which take turns in trials.
    void setVms(std::vector<std::string> vms);

    /// Decides anew; returns the verdicts that were made, taken over or lifted since the last call, for the log.
    std::vector<PartVerdict> update(Instant now);
    /// Number of different parts that are kept away.
    std::size_t keptAway() const;
    /// Time until evidence should be exchanged again; nothing while there is none.
    std::optional<std::chrono::milliseconds> exchangeInterval(Instant now) const;

private:
    struct Verdict
    {
        PartVerdict verdict;
        Instant trialSentAt{};
        bool isReported = false; ///< whether update() has returned it
    };

    struct Case
    {
        std::size_t total = 0; ///< crashes that name the part
        std::vector<const CrashReport *> chain; ///< of these, crashes under a request that was sent after the one before
    };

    Instant lastSuccess(const std::string &part) const;
    /// Whether another part that is kept away was in this crash.
    bool isExplained(const CrashReport &crash, std::string_view part) const;
    /// The unexplained crashes reported up to `settledBefore` that name the part and came after its last whole response.
    Case caseOf(const std::string &part, Instant settledBefore = Instant::max()) const;
    bool isSufficient(const std::string &part, const Case &it) const;
    /// Parts that may have enough crashes to be kept away.
    std::vector<std::string> openParts() const;
    std::size_t crashesNaming(const std::string &part) const;
    void convict(const std::string &part, const Case &it, Instant now);
    void lift(Verdict &it);
    /// Whether a crash that a decision rests on is none, or is explained by a part that was in more crashes.
    bool isUnfounded(const std::string &server, const std::string &part) const;
    void liftUnfounded();
    void renew(Verdict &it, Instant now);
    void forgetOld(Instant now);
    bool mergeCrash(const CrashReport &crash);
    bool mergeSuccess(const PartSuccess &success);
    bool mergeVerdict(const PartVerdict &verdict);
    std::chrono::milliseconds trialDelay(const std::string &part) const;
    std::string nextId(Instant now);

    PartQuarantineOptions m_options;
    std::map<std::string, CrashReport> m_crashes; ///< by incarnation
    std::map<std::string, Verdict> m_verdicts; ///< by part
    std::map<std::string, std::map<std::string, PartSuccess>> m_successes; ///< of parts that crashes name: by part and VM
    RecentResponses m_responses; ///< of all parts, this VM's own
    Instant m_lastResponseAt{}; ///< the last whole response to any request, from any VM
    std::vector<std::string> m_vms;
    std::uint64_t m_lastVerdict = 0;
};

} // namespace auburndrum::decision
