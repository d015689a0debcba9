#pragma once

#include "adminclient.h"

namespace auburndrum::cli {

/// Formats a status report as human-readable text. Colour marks what needs attention.
std::string statusText(const Json &status, bool isColoured);

} // namespace auburndrum::cli
