#pragma once

#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace auburndrum::cli {

using Json = nlohmann::ordered_json;

/// One call to a daemon's administration API.
struct AdminCall
{
    std::string method = "GET";
    std::string path; ///< after /admin/v1/, without query
    std::map<std::string, std::string> query;
    std::string body;
};

/// Response to an AdminCall.
struct AdminAnswer
{
    int status = 0; ///< HTTP status; 0: no response
    Json json; ///< parsed body; a discarded value when the body is not JSON
    std::string error; ///< why no response was received
};

/// Talks to one daemon through QNetworkAccessManager. Needs a QCoreApplication.
class AdminClient
{
public:
    /// @param server "IP:PORT"
    /// @param key operator key, TEAM.SECRET or the administrator's
    AdminClient(std::string server, std::string key, std::chrono::milliseconds timeout);

    /// Makes a call and blocks until the response or the timeout.
    AdminAnswer call(const AdminCall &call) const;

    /// Returns a client for another daemon with the same key and timeout.
    AdminClient forServer(const std::string &server) const;

private:
    std::string m_server;
    std::string m_key;
    std::chrono::milliseconds m_timeout;
};

/// Exit code for a response. Status 202 gives ExitCode::Unknown, as the outcome is not known yet.
ExitCode exitCodeOf(const AdminAnswer &answer);

/// Human-readable error text for an unsuccessful response; one line for each document error.
std::string errorText(const AdminAnswer &answer);

} // namespace auburndrum::cli
