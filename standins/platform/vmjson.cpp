#include "standins/platform/vmjson.h"

namespace auburndrum::standins {

std::optional<VmRecord> parseVm(const std::string &name, const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        VmRecord out;
        out.name = name;
        out.address = json.at("address").get<std::string>();
        out.zone = json.at("zone").get<std::string>();
        out.region = json.at("region").get<std::string>();
        out.role = json.at("role").get<std::string>();
        out.service = json.value("service", "");
        out.incarnation = json.value("incarnation", std::uint64_t{0});
        out.state = json.value("state", "live");
        return out;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

nlohmann::json vmListJson(const std::vector<VmRecord> &vms)
{
    nlohmann::json list = nlohmann::json::array();
    for (const VmRecord &it : vms) {
        list.push_back({{"name", it.name},
                        {"address", it.address},
                        {"zone", it.zone},
                        {"region", it.region},
                        {"role", it.role},
                        {"service", it.service},
                        {"incarnation", it.incarnation},
                        {"state", it.state}});
    }
    return {{"vms", list}};
}

} // namespace auburndrum::standins
