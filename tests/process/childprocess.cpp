#include "childprocess.h"

#include "wait.h"

#include <QCoreApplication>
#include <QFile>

#include <csignal>

#include <unistd.h>

namespace auburndrum::tests {

namespace {

const QByteArray ListeningPrefix = "listening ";

} // namespace

ChildProcess::ChildProcess(const QString &program, const QStringList &arguments)
{
    m_process.setProgram(QCoreApplication::applicationDirPath() + "/" + program);
    m_process.setArguments(arguments);
    m_process.start();
    waitUntil([this] {
        readListeningLine();
        return isListening() || m_process.state() == QProcess::NotRunning;
    });
}

ChildProcess::~ChildProcess()
{
    m_process.kill();
    m_process.waitForFinished();
}

bool ChildProcess::isListening() const
{
    return m_address.port != 0;
}

const net::Address &ChildProcess::address() const
{
    return m_address;
}

std::string ChildProcess::addressText() const
{
    return net::toText(m_address);
}

void ChildProcess::sendSignal(int number)
{
    if (m_process.processId() != 0) {
        ::kill(static_cast<pid_t>(m_process.processId()), number);
    }
}

bool ChildProcess::waitForExit()
{
    return waitUntil([this] {
        return m_process.state() == QProcess::NotRunning;
    });
}

int ChildProcess::exitCode() const
{
    return m_process.exitStatus() == QProcess::NormalExit ? m_process.exitCode() : -1;
}

std::int64_t ChildProcess::residentBytes() const
{
    QFile status(QString("/proc/%1/statm").arg(m_process.processId()));
    if (!status.open(QIODevice::ReadOnly)) {
        return 0;
    }
    const QList<QByteArray> pages = status.readAll().split(' ');
    return pages.size() < 2 ? 0 : pages[1].toLongLong() * ::sysconf(_SC_PAGESIZE);
}

std::chrono::milliseconds ChildProcess::processorTime() const
{
    constexpr int UserTicks = 11; // places behind the program's name in proc(5)
    constexpr int SystemTicks = 12;
    QFile stat(QString("/proc/%1/stat").arg(m_process.processId()));
    if (!stat.open(QIODevice::ReadOnly)) {
        return {};
    }
    const QByteArray text = stat.readAll();
    const QList<QByteArray> fields = text.mid(text.lastIndexOf(')') + 2).split(' ');
    const qlonglong ticks = fields.size() > SystemTicks ? fields[UserTicks].toLongLong() + fields[SystemTicks].toLongLong() : 0;
    return std::chrono::milliseconds(ticks * 1000 / ::sysconf(_SC_CLK_TCK));
}

QByteArray ChildProcess::errorOutput()
{
    return m_process.readAllStandardError();
}

void ChildProcess::readListeningLine()
{
    m_output += m_process.readAllStandardOutput();
    const auto start = m_output.indexOf(ListeningPrefix);
    const auto end = m_output.indexOf('\n', start);
    if (start < 0 || end < 0) {
        return;
    }
    const QByteArray text = m_output.mid(start + ListeningPrefix.size(), end - start - ListeningPrefix.size());
    m_address = net::parseAddress(text.toStdString()).value_or(net::Address{});
}

} // namespace auburndrum::tests
