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

/// Its answer.
struct AdminAnswer
{
    int status = 0; ///< 0: no answer
    Json json; ///< discarded when the body is no JSON
    std::string problem; ///< why there is no answer
};

/// Talks to one daemon through QNetworkAccessManager. Needs a QCoreApplication.
class AdminClient
{
public:
    /// @param server "IP:PORT"
    /// @param key operator key, TEAM.SECRET or the administrator's
    AdminClient(std::string server, std::string key, std::chrono::milliseconds timeout);

    /// Makes a call and waits for its answer.
    AdminAnswer call(const AdminCall &call) const;

    /// The same client towards another daemon.
    AdminClient towards(const std::string &server) const;

private:
    std::string m_server;
    std::string m_key;
    std::chrono::milliseconds m_timeout;
};

/// Exit code for an answer. A 202 is Unknown.
ExitCode exitCodeOf(const AdminAnswer &answer);

/// One line for people about an answer that is no success.
std::string problemOf(const AdminAnswer &answer);

} // namespace auburndrum::cli
