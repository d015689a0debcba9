#pragma once

#include "standins/common/standin.h"

#include <functional>
#include <memory>

namespace auburndrum::standins {

/// A stand-in's state together with its server.
class Server
{
public:
    virtual ~Server() = default;
    virtual StandIn &standIn() = 0;
};

/// Reads the flags, starts the server that the factory makes, prints "listening IP:PORT" and runs until SIGTERM.
///
/// @return the process's exit code
int runProgram(int argc, char **argv, const std::function<std::unique_ptr<Server>()> &factory);

} // namespace auburndrum::standins
