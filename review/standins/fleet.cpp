#include "fleet.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr char Program[] = "target/bin/auburndrum-edge"; // as the deploy file has it, from the repository's root
constexpr int ReadyAttempts = 100;

/// The bounds are those of the sites.
std::string settingsOf(int view, const std::string &zone, const Address &front, const Address &ready, std::uint16_t firstPort, const Address &store)
{
    return "node: \"edge-" + std::to_string(view) + "\"\nrole: \"entry\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\nip: \"" + front.host + "\"\nzone: \""
        + zone + "\"\nregion: \"north\"\nzones:\n  zone-a: \"north\"\n  zone-b: \"north\"\nlisten:\n  front: \"" + toText(front) + "\"\n  ready: \""
        + toText(ready) + "\"\nport_range:\n  - " + std::to_string(firstPort) + "\n  - " + std::to_string(firstPort + 15)
        + "\nseeds: []\nbootstrap: true\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
          "data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nbeat_ms: 1200\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  stable_window_ms: 4000\n"
          "  ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: 2500\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2500\n  rollback_slack_ms: 250\n"
          "  skew_max_ms: 6000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: 54\n  recovery_s: 12\n  require_fence: false\n"
          "  lease_ms: 3000\n  thaw_slack_ms: 300\n  version_ms: 10000\n  version_all_ms: 14000\nplatform:\n  address: \""
        + toText(store) + "\"\n  form: \"log\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  parts: 12\n  keep_s: 300\n";
}

} // namespace

RunRecord::RunRecord(const std::string &path)
    : m_file(path)
{
}

double RunRecord::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - m_startedAt).count();
}

void RunRecord::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << seconds() << ' ' << line << std::endl;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

EntryVm::EntryVm(int view, const std::string &zone, const Address &store, const std::string &folder)
    : m_view(view)
{
    const std::string host = "127.77." + std::to_string(view) + ".1";
    m_front = {host, freePort(host)};
    m_ready = {host, freePort(host)};
    const std::string base = folder + "/" + name();
    std::ofstream(base + ".yaml") << settingsOf(view, zone, m_front, m_ready, freePort(host), store);
    m_process = ::fork();
    if (m_process != 0) {
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("AUBURNDRUM_BOOT", (base + ".yaml").c_str(), 1);
    ::execl(Program, Program, nullptr);
    ::_exit(ExitNotRun);
}

EntryVm::~EntryVm()
{
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

const Address &EntryVm::front() const
{
    return m_front;
}

std::string EntryVm::name() const
{
    return "edge-" + std::to_string(m_view);
}

bool EntryVm::isRunning()
{
    return ::waitpid(m_process, nullptr, WNOHANG) == 0;
}

bool EntryVm::isReady() const
{
    const int descriptor = connectTo(m_ready);
    if (descriptor < 0) {
        return false;
    }
    Connection connection(descriptor);
    connection.setReadTimeout(1000);
    connection.send("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto answer = connection.read();
    return answer && answer->status() == 200;
}

bool waitUntilReady(const std::vector<std::unique_ptr<EntryVm>> &vms)
{
    for (int n = 0; n < ReadyAttempts; ++n) {
        const bool areAll = std::all_of(vms.begin(), vms.end(), [](const auto &it) {
            return it->isReady();
        });
        if (areAll) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

TemporaryFolder::TemporaryFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_path = path;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ec;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_path, ec);
    }
}

const std::string &TemporaryFolder::path() const
{
    return m_path;
}

} // namespace review
