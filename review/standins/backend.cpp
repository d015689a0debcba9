#include "backend.h"

#include <nlohmann/json.hpp>

#include <thread>
#include <utility>

namespace review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds BeatInterval{1200};
constexpr milliseconds WorkTime{60};
constexpr char Service[] = "orders";

} // namespace

Backend::Backend(int number, int views, Store &store, std::function<void(const std::string &, const Message &)> onRun)
    : m_id("server-" + std::to_string(number))
    , m_store(store)
    , m_onRun(std::move(onRun))
{
    const std::string suffix = "." + std::to_string(number);
    m_address = {"127.78.0" + suffix, freePort("127.78.0" + suffix)};
    for (int view = 1; view <= views; ++view) {
        const Address listening{"127.78." + std::to_string(view) + suffix, m_address.port};
        m_listeners.push_back(std::make_unique<Server>(listening, [this](const Message &request) {
            return handle(request);
        }));
    }
    std::thread([this] {
        for (int n = 1;; ++n) {
            writeEntry(n);
            std::this_thread::sleep_for(BeatInterval);
        }
    }).detach();
}

void Backend::writeEntry(int beat)
{
    const json entry = {{"service", Service},
                        {"address", toText(m_address)},
                        {"zone", "zone-b"},
                        {"version", "1"},
                        {"slots", 6},
                        {"state", "ready"},
                        {"cold_left_ms", 0},
                        {"seq", beat},
                        {"born", 1}};
    m_store.put("keyed.servers", m_id, entry.dump());
}

void Backend::cutFrom(int view)
{
    m_listeners.at(static_cast<std::size_t>(view - 1))->close();
}

std::optional<Answer> Backend::handle(const Message &request)
{
    const std::string id = request.header("x-attempt-id");
    const std::string expected = request.header("x-expect-instance");
    if (!expected.empty() && expected != m_id) {
        return Answer{421, {{"X-Attempt-Id", id}, {"X-Not-Executed", "1"}}, ""};
    }
    if (request.path() == "/health") {
        return Answer{200, {{"X-Instance-Id", m_id}}, ""};
    }
    m_onRun(m_id, request);
    std::this_thread::sleep_for(WorkTime);
    return Answer{200, {{"X-Attempt-Id", id}, {"X-Server-Seal", "seal"}}, "done"};
}

std::string orderConfiguration()
{
    const json order = {{"name", "order"},
                        {"host", "lunch.example"},
                        {"path_prefix", "/order/"},
                        {"service", Service},
                        {"kind", "unsafe"},
                        {"timeout_ms", 2000},
                        {"target_latency_ms", 300},
                        {"priority", 2},
                        {"max_attempts", 1}};
    json status = order;
    status["name"] = "status";
    status["path_prefix"] = "/status/";
    status["kind"] = "safe";
    status["max_attempts"] = 2;
    const json service = {{"name", Service}, {"health_path", "/health"}, {"max_conns", 100}};
    const json limits = {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 5000}, {"idle_timeout_ms", 10000}};
    const json it = {{"version", 1}, {"routes", json::array({order, status})}, {"services", json::array({service})}, {"limits", limits}};
    return it.dump();
}

std::vector<std::unique_ptr<EntryVm>> startEntryVms(int count, int inZoneA, Store &store, const std::string &folder)
{
    std::vector<std::unique_ptr<EntryVm>> vms;
    for (int view = 1; view <= count; ++view) {
        const std::string host = "127.79." + std::to_string(view) + ".1";
        const Address address{host, freePort(host)};
        store.listenOn(address, view);
        vms.push_back(std::make_unique<EntryVm>(view, view <= inZoneA ? "zone-a" : "zone-b", address, folder));
    }
    return vms;
}

} // namespace review
