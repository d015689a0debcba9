#include "deployment.h"

#include "documents.h"
#include "wait.h"

namespace auburndrum::tests {

namespace {

constexpr int StatusOk = 200;
constexpr char ProbePath[] = "/probe";

QString listenFlag(int host)
{
    return QString("--listen=127.0.0.%1:0").arg(host);
}

} // namespace

Deployment::Deployment(const DeploymentOptions &options)
{
    startBackends(options);
    startDaemons(options);
    publish();
    m_isServing = true;
    for (int n = 0; n < options.daemons; ++n) {
        m_isServing = m_isServing && waitUntil([&] {
                          return serves(n);
                      });
    }
}

bool Deployment::isServing() const
{
    return m_isServing;
}

ChildProcess &Deployment::platform()
{
    return *m_platform;
}

ChildProcess &Deployment::engine(int n)
{
    return *m_engines[static_cast<std::size_t>(n)];
}

ChildProcess &Deployment::ordering()
{
    return *m_ordering;
}

ChildProcess &Deployment::ledger()
{
    return *m_ledger;
}

ChildProcess &Deployment::daemon(int n)
{
    return *m_daemons[static_cast<std::size_t>(n)];
}

TestClient &Deployment::client()
{
    return m_client;
}

void Deployment::setFault(const ChildProcess &standIn, const nlohmann::json &fault)
{
    m_client.send(standIn.address(), "POST", "/v1/faults", fault);
}

void Deployment::clearFaults(const ChildProcess &standIn)
{
    setFault(standIn, {{"mode", "none"}});
}

void Deployment::listServer(const ChildProcess &server, const std::string &name, const std::string &service, const std::string &state)
{
    const nlohmann::json vm = {{"name", name},
                               {"address", server.addressText()},
                               {"zone", "uusimaa-1"},
                               {"region", "uusimaa"},
                               {"role", "backend"},
                               {"service", service},
                               {"incarnation", 1},
                               {"state", state}};
    m_client.send(m_platform->address(), "PUT", "/v1/vms/" + QByteArray::fromStdString(name), vm);
}

net::HttpCall Deployment::prompt(int daemon, const std::string &text, int maxTokens, bool stream) const
{
    net::HttpCall out;
    out.peer = m_daemons[static_cast<std::size_t>(daemon)]->address();
    out.method = "POST";
    out.target = "/v1/completions";
    out.headers = {{"Authorization", authorization("kattila")}, {"Content-Type", "application/json"}};
    out.body = QByteArray::fromStdString(nlohmann::json{{"model", "menu"}, {"prompt", text}, {"max_tokens", maxTokens}, {"stream", stream}}.dump());
    return out;
}

net::HttpCall Deployment::serviceCall(int daemon, const std::string &service, const std::string &path, const std::string &key) const
{
    net::HttpCall out;
    out.peer = m_daemons[static_cast<std::size_t>(daemon)]->address();
    out.method = "POST";
    out.target = QByteArray::fromStdString("/v1/services/" + service + path);
    out.headers = {{"Authorization", authorization("kattila")}, {"Content-Type", "application/json"}};
    if (!key.empty()) {
        out.headers.push_back({"Idempotency-Key", QByteArray::fromStdString(key)});
    }
    out.body = R"({"lunches":40})";
    return out;
}

net::HttpCall Deployment::asOrganisation(const std::string &organisation, net::HttpCall call) const
{
    call.headers.front().value = authorization(organisation);
    return call;
}

std::vector<nlohmann::json> Deployment::executions(const ChildProcess &service, const std::string &path)
{
    const nlohmann::json all = m_client.get(service.address(), "/v1/executions")->json();
    std::vector<nlohmann::json> out;
    for (const nlohmann::json &it : all.at("executions")) {
        if (it.at("path") == path) {
            out.push_back(it);
        }
    }
    return out;
}

nlohmann::json Deployment::runs(int engine)
{
    return m_client.get(m_engines[static_cast<std::size_t>(engine)]->address(), "/v1/runs")->json();
}

void Deployment::startBackends(const DeploymentOptions &options)
{
    m_platform = std::make_unique<ChildProcess>("standin-platform", QStringList{listenFlag(2), "--vm_lag=50ms"} + options.platformArguments);
    for (int n = 0; n < options.engines; ++n) {
        const QStringList arguments{listenFlag(20 + n), "--incarnation=1"};
        m_engines.push_back(std::make_unique<ChildProcess>("standin-engine", arguments + options.engineArguments));
        listServer(*m_engines.back(), "engine-" + std::to_string(n), "menu", "live");
    }
    m_ordering = std::make_unique<ChildProcess>("standin-service", QStringList{listenFlag(40), "--incarnation=1"} + options.serviceArguments);
    listServer(*m_ordering, "ordering-0", "ordering", "live");
    m_ledger = std::make_unique<ChildProcess>("standin-service", QStringList{listenFlag(41), "--incarnation=1"} + options.serviceArguments);
    listServer(*m_ledger, "ledger-0", "ledger", "live");
}

void Deployment::startDaemons(const DeploymentOptions &options)
{
    for (int n = 0; n < options.daemons; ++n) {
        const QStringList arguments{listenFlag(60 + n),
                                    QString("--name=entry-%1").arg(n),
                                    QString("--zone=uusimaa-%1").arg(n + 1),
                                    "--region=uusimaa",
                                    "--balancer_lag=200ms",
                                    "--platform=" + QString::fromStdString(m_platform->addressText())};
        m_daemons.push_back(std::make_unique<ChildProcess>("auburndrumd", arguments + options.daemonArguments));
    }
}

void Deployment::publish()
{
    for (const std::string &entry : documentEntries()) {
        m_client.send(m_platform->address(), "POST", "/v1/log/records", {{"value", entry}});
    }
}

bool Deployment::serves(int daemon)
{
    const PendingCallPtr answer = m_client.call(prompt(daemon, "probe", 1, false));
    if (!answer->isWhole() || answer->status() != StatusOk) {
        return false;
    }
    for (const char *service : {"ordering", "ledger"}) {
        const PendingCallPtr called = m_client.call(serviceCall(daemon, service, ProbePath, ""));
        if (!called->isWhole() || called->status() != StatusOk) {
            return false;
        }
    }
    return true;
}

} // namespace auburndrum::tests
