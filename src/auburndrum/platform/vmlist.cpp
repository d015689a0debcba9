#include "auburndrum/platform/vmlist.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace auburndrum::platform {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds ListTimeout{2000};

std::string textOf(const json &item, const char *field)
{
    const auto it = item.find(field);
    return it != item.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<VmRole> roleOf(const std::string &text)
{
    if (text == "entry") {
        return VmRole::Entry;
    }
    if (text == "backend") {
        return VmRole::Backend;
    }
    if (text == "store") {
        return VmRole::Store;
    }
    return std::nullopt;
}

std::optional<Vm> vmOf(const json &item)
{
    if (!item.is_object()) {
        return std::nullopt;
    }
    const auto role = roleOf(textOf(item, "role"));
    Vm it;
    it.name = textOf(item, "name");
    it.address = textOf(item, "address");
    if (!role || it.name.empty() || !net::parseAddress(it.address)) {
        return std::nullopt;
    }
    it.role = *role;
    it.zone = textOf(item, "zone");
    it.region = textOf(item, "region");
    it.service = textOf(item, "service");
    it.leaving = textOf(item, "state") == "leaving";
    const auto incarnation = item.find("incarnation");
    if (incarnation != item.end() && incarnation->is_number_unsigned()) {
        it.incarnation = incarnation->get<std::uint64_t>();
    }
    return it;
}

std::vector<Vm> vmsOf(const QByteArray &text)
{
    std::vector<Vm> list;
    const json body = parseJsonOrDiscard(text.toStdString());
    if (!body.is_object() || !body.contains("vms")) {
        return list;
    }
    for (const json &item : body["vms"]) {
        if (auto it = vmOf(item)) {
            list.push_back(std::move(*it));
        }
    }
    return list;
}

} // namespace

void readVmList(net::HttpClient &http, const net::Address &platform, std::function<void(PlatformError error, const std::vector<Vm> &vms)> onDone)
{
    net::HttpCall call;
    call.peer = platform;
    call.target = "/v1/vms";
    call.firstByteTimeout = ListTimeout;
    call.idleTimeout = ListTimeout;
    net::HttpHooks hooks;
    hooks.onDone = [onDone = std::move(onDone)](const net::HttpResult &result) {
        const PlatformError error = platformError(result);
        onDone(error, error == PlatformError::None ? vmsOf(result.body) : std::vector<Vm>());
    };
    http.start(call, std::move(hooks));
}

} // namespace auburndrum::platform
