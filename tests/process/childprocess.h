#pragma once

#include "auburndrum/net/address.h"

#include <QByteArray>
#include <QProcess>
#include <QString>
#include <QStringList>

#include <chrono>
#include <cstdint>
#include <string>

namespace auburndrum::tests {

/// A program of the project that a test has started. It ends with the object, by its own pid.
class ChildProcess
{
public:
    /// Starts the program, which lies beside the test's own, and waits until it prints "listening IP:PORT".
    ChildProcess(const QString &program, const QStringList &arguments);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    bool isListening() const;
    const net::Address &address() const;
    std::string addressText() const;

    void sendSignal(int number);

    /// Waits for the end of the process; false when it still runs after a generous limit.
    bool waitForExit();
    int exitCode() const;

    /// Memory in use, by the kernel's account; 0 when it has ended.
    std::int64_t residentBytes() const;

    /// Processor time used so far, by the kernel's account.
    std::chrono::milliseconds processorTime() const;

    /// What it wrote to standard error.
    QByteArray errorOutput();

private:
    void readListeningLine();

    QProcess m_process;
    QByteArray m_output;
    net::Address m_address;
};

} // namespace auburndrum::tests
