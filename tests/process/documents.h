#pragma once

#include <QByteArray>

#include <string>
#include <vector>

namespace auburndrum::tests {

/// Returns log entries that publish the documents of a Deployment.
std::vector<std::string> documentEntries();

/// Returns the Authorization header of this organisation's callers.
QByteArray authorization(const std::string &organisation);

} // namespace auburndrum::tests
