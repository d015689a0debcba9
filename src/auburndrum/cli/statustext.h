#pragma once

#include "adminclient.h"

namespace auburndrum::cli {

/// A status report for people. Colour marks what needs attention.
std::string statusText(const Json &status, bool isColoured);

} // namespace auburndrum::cli
