#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// What stands behind a service.
enum class ServiceKind {
    Engine, ///< model engines that stream tokens
    Plain, ///< ordinary calls, some of which may not be repeated
};

/// How much one unit of each measure costs a routing choice. Unit: equivalent seconds.
struct RoutingCostWeights
{
    double firstToken = 1.0; ///< per second of predicted time to first token
    double recompute = 0.0; ///< per 1,000 recomputed prompt tokens
    double link = 0.0; ///< per megabyte over the inter-region link
};

/// What an organisation may use of one service.
struct OrganisationGrant
{
    std::string organisation;
    double share = 1.0; ///< weight in the fair queue, above 0
    std::uint32_t maxConcurrent = 0; ///< requests at once; 0 means no limit of its own
    std::uint8_t priority = 5; ///< 0 highest to 9
};

/// One service as its owning team describes it.
struct ServiceDocument
{
    std::string name;
    std::string ownerTeam;
    ServiceKind kind = ServiceKind::Engine;
    std::string model; ///< name that callers use; the service's name when empty
    std::string weightVersion; ///< wanted weight version; empty for plain services
    std::vector<std::string> adapters;
    std::vector<OrganisationGrant> organisations;
    RoutingCostWeights routingCostWeights;
    std::chrono::milliseconds firstTokenDeadline{5000};
    std::chrono::milliseconds requestTimeout{120000};
    std::chrono::milliseconds tokenGapLimit{2000}; ///< longest silence of a running stream
    std::uint32_t pieceTokens = 2000; ///< tokens in one cache piece
    std::uint32_t queueLimit = 1000; ///< waiting requests in one entry VM
    bool repeatable = true; ///< false: a call runs at most once
    bool idempotencyKeyRequired = false; ///< true: a call without Idempotency-Key is refused
    std::string lookupPath; ///< outcome look-up of a plain service; empty when it has none
    bool checksFencing = true; ///< backend servers refuse an old fencing number
};

/// One organisation: who its callers are.
struct OrganisationDocument
{
    std::string name;
    std::vector<std::string> apiKeyHashes; ///< "SALT:HASH" of each API key, hex, SHA-256 of salt then key
};

/// One operator team.
struct TeamDocument
{
    std::string name;
    bool platformAdministrator = false;
    std::vector<std::string> apiKeyHashes; ///< as in OrganisationDocument
};

} // namespace auburndrum::decision
