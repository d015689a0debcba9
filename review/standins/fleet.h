#pragma once

#include "http.h"
#include "store.h"

#include <sys/types.h>

#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

/// Writes what was sent, answered and run, with the time since the start, to record.txt of the case.
class RunRecord
{
public:
    explicit RunRecord(const std::string &path);

    void write(const std::string &line);
    double seconds() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_startedAt = Clock::now();
};

/// Whether the run is to have its disruption; TROUBLE=0 leaves it out.
bool hasTrouble();

/// One process of the deploy file's role, on 127.77.VIEW.1.
class EntryVm
{
public:
    /// @p folder holds its settings and its log.
    EntryVm(int view, const std::string &zone, const Address &store, const std::string &folder);
    ~EntryVm();
    EntryVm(const EntryVm &) = delete;
    EntryVm &operator=(const EntryVm &) = delete;

    const Address &front() const;
    bool isReady() const;
    bool isRunning();
    std::string name() const;

private:
    int m_view;
    Address m_front;
    Address m_ready;
    pid_t m_process = -1;
};

/// Waits until all are ready; false after ten seconds.
bool waitUntilReady(const std::vector<std::unique_ptr<EntryVm>> &vms);
/// A folder under the system's folder for temporary files, which lasts as long as this object.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const;

private:
    std::string m_path;
};

} // namespace review
