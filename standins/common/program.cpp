#include "standins/common/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <QCoreApplication>

#include <csignal>
#include <iostream>
#include <optional>
#include <string>

#include <unistd.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");

namespace auburndrum::standins {

namespace {

extern "C" void exitOnSignal(int)
{
    _exit(0);
}

} // namespace

int runProgram(int argc, char **argv, const std::function<std::unique_ptr<Server>()> &factory)
{
    absl::ParseCommandLine(argc, argv);
    QCoreApplication app(argc, argv);
    std::signal(SIGTERM, exitOnSignal);
    const std::string listen = absl::GetFlag(FLAGS_listen);
    const std::optional<net::Address> wanted = net::parseAddress(listen);
    if (!wanted) {
        std::cerr << "--listen: got \"" << listen << "\", want IP:PORT\n";
        return 2;
    }
    const std::unique_ptr<Server> server = factory();
    const net::Address address = server->standIn().listenOn(*wanted);
    if (address.port == 0) {
        std::cerr << "--listen: can't listen on " << listen << "\n";
        return 1;
    }
    std::cout << "listening " << net::toText(address) << std::endl;
    return QCoreApplication::exec();
}

} // namespace auburndrum::standins
