#pragma once

#include "childprocess.h"
#include "testclient.h"

#include <nlohmann/json.hpp>

#include <QString>
#include <QStringList>

#include <memory>
#include <string>
#include <vector>

namespace auburndrum::tests {

/// What a test starts.
struct DeploymentOptions
{
    int daemons = 2;
    int engines = 2;
    QStringList platformArguments;
    QStringList engineArguments;
    QStringList serviceArguments;
    QStringList daemonArguments;
};

/// A small deployment on loopback: platform, engines of service "menu", one server each of the plain services "ordering" (with an
/// outcome look-up) and "ledger" (without), and daemons. The organisations "kattila" and "poyta" may use all of them.
class Deployment
{
public:
    /// Starts everything and waits until each daemon serves each service.
    explicit Deployment(const DeploymentOptions &options = {});

    /// Whether everything has started; checked first in each test.
    bool isServing() const;

    ChildProcess &platform();
    ChildProcess &engine(int n);
    ChildProcess &ordering();
    ChildProcess &ledger();
    ChildProcess &daemon(int n);
    TestClient &client();

    /// Sets one fault of a stand-in.
    void setFault(const ChildProcess &standIn, const nlohmann::json &fault);
    void clearFaults(const ChildProcess &standIn);

    /// Puts a backend server into the platform's list.
    void listServer(const ChildProcess &server, const std::string &name, const std::string &service, const std::string &state);

    /// A prompt to service "menu" by organisation "kattila".
    net::HttpCall prompt(int daemon, const std::string &text, int maxTokens, bool stream) const;

    /// A call to a plain service by organisation "kattila".
    net::HttpCall serviceCall(int daemon, const std::string &service, const std::string &path, const std::string &key) const;

    /// The same call by another organisation.
    net::HttpCall asOrganisation(const std::string &organisation, net::HttpCall call) const;

    /// The executions of a plain service under this path.
    std::vector<nlohmann::json> executions(const ChildProcess &service, const std::string &path);

    /// What an engine says of its runs.
    nlohmann::json runs(int engine);

private:
    void startBackends(const DeploymentOptions &options);
    void startDaemons(const DeploymentOptions &options);
    void publish();
    bool serves(int daemon);

    TestClient m_client;
    std::unique_ptr<ChildProcess> m_platform;
    std::vector<std::unique_ptr<ChildProcess>> m_engines;
    std::unique_ptr<ChildProcess> m_ordering;
    std::unique_ptr<ChildProcess> m_ledger;
    std::vector<std::unique_ptr<ChildProcess>> m_daemons;
    bool m_isServing = false;
};

} // namespace auburndrum::tests
