#pragma once

#include "auburndrum/base/log.h"
#include "auburndrum/base/timeline.h"
#include "auburndrum/decision/configfold.h"
#include "auburndrum/decision/publishcall.h"
#include "auburndrum/decision/servicedocument.h"
#include "auburndrum/operator/adminmessage.h"
#include "auburndrum/operator/publishhistory.h"
#include "auburndrum/operator/statusreport.h"

#include <chrono>
#include <memory>

namespace auburndrum::net {
class Exchange;
}

namespace auburndrum::operators {

/// A claim in doubt: past its deadline without an outcome, so that an operator has to resolve it.
struct InDoubtClaim
{
    decision::ClaimKey key;
    std::string nonce;
    WallTime claimedAt; ///< log time of the claim
};

/// An operator's decision on a claim in doubt: whether its call ran, and with which outcome.
struct ClaimResolution
{
    decision::ClaimKey key;
    bool ran = false; ///< false: releases the key, so that it may be claimed again
    std::uint32_t status = 0; ///< HTTP status that later requests with the key receive; only used if ran
    std::string contentType;
    std::string body;
};

/// Result of an operator's request.
enum class AdminOutcome {
    Done, ///< completed, or started if it takes time
    NotFound, ///< no object of this name exists
    Unavailable, ///< certainly not done; may be tried again
    Unknown, ///< may have been done; the operator has to check
};

using AdminDone = std::function<void(AdminOutcome)>;

/// Functions of the daemon that the administration API calls. Every hook is required.
struct AdminHooks
{
    std::function<const decision::ConfigFold &()> config;
    std::function<const decision::TeamDocument *(std::string_view authorization)> team; ///< team that owns the key of an Authorization header, or nullptr
    std::function<void(const decision::PublishRecord &, std::function<void(const decision::PublishAnswer &)>)> publish;
    std::function<std::vector<PublishedVersion>(const std::string &document)> history;
    std::function<StatusReport()> status;
    std::function<void(const std::string &vm, AdminDone)> drain;
    std::function<std::vector<InDoubtClaim>()> inDoubtClaims;
    std::function<void(const ClaimResolution &, const std::string &author, AdminDone)> resolve;
};

/// Options of the administration API.
struct AdminOptions
{
    std::string process; ///< name of this VM
    std::string zone;
    std::string administratorKeyHash; ///< as in Settings
    std::size_t maxListedClaims = 1000; ///< highest number of claims in doubt in one response
};

/// The administration API under /admin/v1/, described in docs/API.md.
///
/// Runs on the event loop's thread; hooks may call back later.
class AdminApi
{
public:
    AdminApi(AdminOptions options, AdminHooks hooks, Timeline &timeline);

    /// Responds to an exchange whose path is under /admin/v1/. Returns false for other paths and leaves the exchange as it is.
    bool handle(const std::shared_ptr<net::Exchange> &exchange);

    /// Handles one request and calls @p reply once, now or later.
    void handle(const AdminRequest &request, const AdminReply &reply);

private:
    /// The authenticated sender of a request.
    struct Operator
    {
        std::string team; ///< empty for the administrator key of the settings
        bool isAdministrator = false;
        std::string author; ///< team or administrator, with the person if known, for the audit record
    };

    /// A document named in a path.
    struct Target
    {
        std::string kind;
        std::string name;
        std::string key; ///< "KIND/NAME"
    };

    std::optional<Operator> authenticate(const AdminRequest &request) const;
    void route(const AdminRequest &request, const std::vector<std::string> &parts, const Operator &who, const AdminReply &reply);
    void routeDocuments(const AdminRequest &request, const std::vector<std::string> &parts, const Operator &who, const AdminReply &reply);

    AdminResponse listDocuments() const;
    AdminResponse showDocument(const Target &target, const Operator &who) const;
    AdminResponse showHistory(const Target &target, const Operator &who) const;
    AdminResponse showPublish(const std::string &requestId) const;
    void publish(const AdminRequest &request, const Target &target, const Operator &who, const AdminReply &reply);
    std::optional<AdminResponse> checkBody(const AdminRequest &request, const Target &target, const Operator &who) const;
    std::optional<AdminResponse> checkOwner(const Target &target, const Operator &who) const;
    bool mayRead(const Target &target, const Operator &who) const;

    AdminResponse listInDoubtClaims() const;
    void resolveClaim(const AdminRequest &request, const Operator &who, const AdminReply &reply);
    bool ownsService(const std::string &service, const Operator &who) const;

    AdminResponse showTimeline(const AdminRequest &request) const;
    AdminResponse changeLogLevel(const AdminRequest &request, const Operator &who);
    void drain(const std::string &vm, const Operator &who, const AdminReply &reply);

    AdminOptions m_options;
    AdminHooks m_hooks;
    Timeline &m_timeline;
    Log m_log;
};

} // namespace auburndrum::operators
