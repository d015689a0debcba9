#pragma once

#include "standins/platform/vmlist.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace auburndrum::standins {

/// Reads the body of PUT /v1/vms/NAME; nothing when a field is missing or of the wrong type.
std::optional<VmRecord> parseVm(const std::string &name, const std::string &body);

/// Writes the answer of GET /v1/vms.
nlohmann::json vmListJson(const std::vector<VmRecord> &vms);

} // namespace auburndrum::standins
