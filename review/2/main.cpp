// Large requests lose a part of their bodies while all entry VMs of a zone are cut off from the backend servers.

#include "../standins/backend.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Servers = 3;
constexpr int EntryVms = 5;
constexpr int CutVms = 3; // all of zone-a
constexpr std::size_t SmallBytes = 600;
constexpr std::size_t LargeBytes = 1024 * 1024; // a quarter of max_body_bytes
constexpr seconds CutTime{10};
constexpr int LargeClients = 4; // at each entry VM, beside one that sends small requests

/// A body that tells where a part of it is missing.
std::string bodyOf(const std::string &id, std::size_t bytes)
{
    std::string body;
    body.reserve(bytes + 64);
    for (int n = 0; body.size() < bytes; ++n) {
        body += id + " line " + std::to_string(n) + "\n";
    }
    body.resize(bytes);
    return body;
}

/// What clients sent, and which of it backend servers ran otherwise.
class Ledger
{
public:
    explicit Ledger(RunRecord &record)
        : m_record(record)
    {
    }

    std::string add(std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        std::string id = "attempt" + std::to_string(m_sent.size() + 1);
        m_sent[id] = bytes;
        return id;
    }

    void checkRun(const std::string &server, const Message &request)
    {
        const std::string id = request.header("x-attempt-id");
        std::size_t bytes = 0;
        {
            const std::lock_guard lock(m_mutex);
            bytes = m_sent.contains(id) ? m_sent.at(id) : 0;
        }
        const bool isWhole = request.body == bodyOf(id, bytes);
        m_record.write(server + " runs " + id + " with " + std::to_string(request.body.size()) + " bytes" + (isWhole ? "" : ", BROKEN: sent were ")
                       + (isWhole ? "" : std::to_string(bytes)));
        if (!isWhole) {
            const std::lock_guard lock(m_mutex);
            m_problems.push_back(server + " ran " + id + " with another body: " + std::to_string(request.body.size()) + " bytes of " + std::to_string(bytes));
        }
    }

    std::vector<std::string> problems()
    {
        const std::lock_guard lock(m_mutex);
        return m_problems;
    }

private:
    RunRecord &m_record;
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_sent;
    std::vector<std::string> m_problems;
};

class Run
{
public:
    explicit Run(const std::string &folder)
        : m_record(folder + "/record.txt")
        , m_ledger(m_record)
        , m_store(seconds(300))
    {
    }

    int play()
    {
        m_store.put("keyed.op", "config", orderConfiguration());
        for (int n = 1; n <= Servers; ++n) {
            m_backends.push_back(std::make_unique<Backend>(n, EntryVms, m_store, [this](const std::string &server, const Message &request) {
                m_ledger.checkRun(server, request);
            }));
        }
        m_vms = startEntryVms(EntryVms, CutVms, m_store, m_folder->path());
        if (!waitUntilReady(m_vms)) {
            m_record.write("the entry VMs did not become ready");
            return ExitNotRun;
        }
        std::this_thread::sleep_for(seconds(3));
        for (const auto &vm : m_vms) {
            startClient(*vm, SmallBytes);
            for (int n = 0; n < LargeClients; ++n) {
                startClient(*vm, LargeBytes);
            }
        }
        std::this_thread::sleep_for(seconds(3));
        if (hasTrouble()) {
            m_record.write("all of zone-a, the first " + std::to_string(CutVms) + " entry VMs, is cut off from the servers");
            for (const auto &it : m_backends) {
                for (int view = 1; view <= CutVms; ++view) {
                    it->cutFrom(view);
                }
            }
        }
        std::this_thread::sleep_for(CutTime);
        m_isOver = true;
        std::this_thread::sleep_for(seconds(3));
        return report();
    }

    void endProcesses()
    {
        m_vms.clear();
        m_folder.reset();
    }

private:
    void startClient(const EntryVm &vm, std::size_t bytes)
    {
        std::thread([this, bytes, front = vm.front(), name = vm.name()] {
            while (!m_isOver) {
                sendOne(front, name, bytes);
                std::this_thread::sleep_for(milliseconds(150));
            }
        }).detach();
    }

    void sendOne(const Address &front, const std::string &vm, std::size_t bytes)
    {
        const std::string id = m_ledger.add(bytes);
        const int descriptor = connectTo(front);
        if (descriptor < 0) {
            m_record.write(id + " can't connect to " + vm);
            return;
        }
        Connection connection(descriptor);
        connection.setReadTimeout(3000);
        m_record.write(id + " sent to " + vm + " with " + std::to_string(bytes) + " bytes");
        connection.send("POST /order/" + id + " HTTP/1.1\r\nHost: lunch.example\r\nX-Attempt-Id: " + id
                        + "\r\nX-Deadline-Ms: 2000\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + bodyOf(id, bytes));
        const auto answer = connection.read();
        m_record.write(id + " answered " + (answer ? std::to_string(answer->status()) : "by a closed connection"));
    }

    int report()
    {
        bool isBroken = false;
        for (const auto &it : m_vms) {
            if (!it->isRunning()) {
                m_record.write("BROKEN " + it->name() + " has ended");
                isBroken = true;
            }
        }
        for (const std::string &it : m_ledger.problems()) {
            std::cout << "UNASKED: " << it << "\n";
            isBroken = true;
        }
        m_record.write(isBroken ? "the rule was broken" : "the rule held");
        return isBroken ? ExitBroken : ExitHeld;
    }

    RunRecord m_record;
    Ledger m_ledger;
    Store m_store;
    std::unique_ptr<TemporaryFolder> m_folder = std::make_unique<TemporaryFolder>();
    std::vector<std::unique_ptr<Backend>> m_backends;
    std::vector<std::unique_ptr<EntryVm>> m_vms;
    std::atomic<bool> m_isOver{false};
};

} // namespace

int main(int argc, char **argv)
{
    const auto run = std::make_unique<Run>(argc > 1 ? argv[1] : ".");
    const int result = run->play();
    run->endProcesses();
    std::cout.flush();
    std::_Exit(result); // the stand-ins' threads still run
}
