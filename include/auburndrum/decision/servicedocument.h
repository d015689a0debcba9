#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Kind of the backend servers of a service.
enum class ServiceKind {
    Engine, ///< model engines, which stream tokens
    Plain, ///< servers of ordinary HTTP calls, some of which must not run twice
};

/// Weights of the measures in the cost of a routing choice, in equivalent seconds per unit of the measure.
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
    double share = 1.0; ///< weight in the fair queue; above 0
    std::uint32_t maxConcurrent = 0; ///< limit of requests at once; 0: none for this organisation alone
    std::uint8_t priority = 5; ///< 0 (highest) to 9 (lowest)
};

/// One service, as published by the team that owns it.
struct ServiceDocument
{
    std::string name;
    std::string ownerTeam;
    ServiceKind kind = ServiceKind::Engine;
    std::string model; ///< model name in callers' requests; the service's name when empty
    std::string weightVersion; ///< desired weight version; empty for plain services
    std::vector<std::string> adapters;
    std::vector<OrganisationGrant> organisations;
    RoutingCostWeights routingCostWeights;
    std::chrono::milliseconds firstTokenDeadline{5000};
    std::chrono::milliseconds requestTimeout{120000};
    std::chrono::milliseconds tokenGapLimit{2000}; ///< longest time without a token in a running stream
    std::uint32_t pieceTokens = 2000; ///< tokens in one cache piece
    std::uint32_t queueLimit = 1000; ///< limit of waiting requests in one entry VM
    bool repeatable = true; ///< false: a call runs at most once
    bool idempotencyKeyRequired = false; ///< true: a call without Idempotency-Key is refused
    std::string lookupPath; ///< path on a plain service's backend servers that looks up a call's outcome; empty if there is none
    bool checksFencing = true; ///< true: backend servers refuse an outdated fencing number
};

/// One organisation and the API keys of its callers.
struct OrganisationDocument
{
    std::string name;
    std::vector<std::string> apiKeyHashes; ///< "SALT:HASH" of each API key, hex, SHA-256 of salt then key
};

/// One team of operators and its API keys.
struct TeamDocument
{
    std::string name;
    bool platformAdministrator = false;
    std::vector<std::string> apiKeyHashes; ///< as in OrganisationDocument
};

} // namespace auburndrum::decision
