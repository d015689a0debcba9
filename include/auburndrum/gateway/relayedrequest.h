#pragma once

#include "auburndrum/net/header.h"
#include "auburndrum/net/requestparser.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::gateway {

/// What an entry VM states when it passes a caller's request on to another one.
struct RelayedRequest
{
    std::string by; ///< name of the VM that passed it on
    std::uint32_t deliveries = 0; ///< backend servers that it reached before
    std::string service; ///< that began the stream which the request goes on with; empty when unknown, and from VMs of versions that don't say it
    std::string softwareVersion; ///< that began it
};

/// What the other VM states in its answer, besides the backend server's own fields.
struct RelayedAnswer
{
    std::string vm; ///< the VM whose own answer it is; empty for a backend server's answer, and from VMs of versions that don't say it
    bool hasNoPath = false; ///< the VM reaches no server of the service either; the request has not run there
    std::optional<std::uint32_t> deliveries; ///< backend servers that the request reached, those before it was passed on included; not set by earlier versions
    std::string server; ///< that answered; empty when the VM itself answered
    std::string service;
    std::string softwareVersion;
};

/// @{ Header fields between entry VMs. They are neither passed on to backend servers nor to callers.
void addFields(std::vector<net::Header> &headers, const RelayedRequest &request);
void addFields(std::vector<net::Header> &headers, const RelayedAnswer &answer);
RelayedRequest readRelayedRequest(const std::vector<net::Header> &headers);
RelayedAnswer readRelayedAnswer(const std::vector<net::Header> &headers);
std::vector<net::Header> withoutRelayFields(const std::vector<net::Header> &headers);
/// @}

} // namespace auburndrum::gateway
