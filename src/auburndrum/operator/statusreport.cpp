#include "auburndrum/operator/statusreport.h"

#include <nlohmann/json.hpp>

namespace auburndrum::operators {

namespace {

using Json = nlohmann::ordered_json;

Json toValue(const PeerStatus &peer)
{
    return Json{{"name", peer.name}, {"address", peer.address}, {"zone", peer.zone}, {"region", peer.region}, {"live", peer.isLive}};
}

Json toValue(const BackendStatus &backend)
{
    return Json{{"address", backend.address},
                {"service", backend.service},
                {"zone", backend.zone},
                {"live", backend.isLive},
                {"leaving", backend.isLeaving},
                {"running", backend.running},
                {"queued", backend.queued},
                {"version", backend.weightVersion}};
}

template<class T>
Json toList(const std::vector<T> &items)
{
    Json list = Json::array();
    for (const T &it : items) {
        list.push_back(toValue(it));
    }
    return list;
}

} // namespace

std::string toJson(const StatusReport &report)
{
    const Json json{{"name", report.name},
                    {"zone", report.zone},
                    {"region", report.region},
                    {"address", report.address},
                    {"incarnation", report.incarnation},
                    {"phase", report.phase},
                    {"ready", report.notReady.empty()},
                    {"not_ready", report.notReady},
                    {"platform_up", report.isPlatformUp},
                    {"config_offset", report.configOffset},
                    {"config_age_ms", report.configAge.count()},
                    {"open_requests", report.openRequests},
                    {"claims_in_doubt", report.claimsInDoubt},
                    {"peers", toList(report.peers)},
                    {"backends", toList(report.backends)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace auburndrum::operators
