#include "auburndrum/base/settingtable.h"

#include "settingparsers.h"

#include <fmt/format.h>

namespace auburndrum {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t KibiBytes = 1024;
constexpr std::uint64_t MebiBytes = 1024 * KibiBytes;
constexpr std::size_t ShortestSecretCharacters = 16;

SettingRow required(SettingRow row, std::string name, std::string meaning)
{
    row.name = std::move(name);
    row.meaning = std::move(meaning);
    row.required = true;
    return row;
}

SettingRow optional(SettingRow row, std::string name, std::string defaultText, std::string meaning)
{
    row.name = std::move(name);
    row.defaultText = std::move(defaultText);
    row.meaning = std::move(meaning);
    return row;
}

void addIdentity(std::vector<SettingRow> &rows)
{
    rows.push_back(required(nameRow(&Settings::name), "name", "Name of this VM, unique in the deployment."));
    rows.push_back(required(nameRow(&Settings::zone), "zone", "Availability zone that this VM is in."));
    rows.push_back(required(nameRow(&Settings::region), "region", "Region that the availability zone is in."));
}

void addAddresses(std::vector<SettingRow> &rows)
{
    rows.push_back(required(addressRow(&Settings::listen), "listen", "Address that callers, operators and peers reach; port 0 takes a free one."));
    rows.push_back(required(addressRow(&Settings::platform), "platform", "Address of the platform's log, VM list and weight store."));
    rows.push_back(optional(addressListRow(&Settings::peers), "peers", "", "Other entry VMs, in addition to those in the platform's VM list."));
}

void addLimits(std::vector<SettingRow> &rows)
{
    rows.push_back(optional(countRow(&Settings::maxBodyBytes, KibiBytes, 256 * MebiBytes, "bytes"), "max_body_bytes", "8388608", "Largest request body."));
    rows.push_back(optional(countRow(&Settings::maxHeaderBytes, KibiBytes, MebiBytes, "bytes"), "max_header_bytes", "65536", "Largest request head."));
    rows.push_back(optional(
        countRow(&Settings::maxConnections, 1, 100000, "connections"), "max_connections", "10000", "Open connections from callers, operators and peers."));
    rows.push_back(optional(
        countRow(&Settings::timelineEvents, 100, 1000000, "events"), "timeline_events", "20000", "Events that the time line keeps; the oldest give way."));
}

void addTimes(std::vector<SettingRow> &rows)
{
    rows.push_back(optional(durationRow(&Settings::requestTimeout, 100ms, 1h),
                            "request_timeout",
                            "10m",
                            "Longest time from the head of a request to the end of its answer; a service document may set less."));
    rows.push_back(optional(durationRow(&Settings::drainLimit, 0ms, 1h), "drain_limit", "5m", "Longest graceful shutdown; streams open after it are cut."));
    rows.push_back(optional(durationRow(&Settings::balancerLag, 0ms, 5min),
                            "balancer_lag",
                            "5s",
                            "Time for which a stopping daemon still accepts requests, until the balancer has seen /readyz fail."));
}

void addObservation(std::vector<SettingRow> &rows)
{
    rows.push_back(optional(logLevelRow(), "log_level", "info", "Least important level that is logged; changed at run time by the administration API."));
    rows.push_back(optional(logFormatRow(), "log_format", "text", "Form of a log line."));
}

void addSecrets(std::vector<SettingRow> &rows)
{
    rows.push_back(optional(keyHashRow(&Settings::administratorKeyHash),
                            "administrator_key_hash",
                            "",
                            "Hash of a platform administrator's key that works before any team document is published."));
    rows.push_back(optional(secretRow(&Settings::fleetSecret, ShortestSecretCharacters),
                            "fleet_secret",
                            "",
                            "Credential that peers present to each other; may be empty only when listening on loopback."));
}

std::vector<SettingRow> makeTable()
{
    std::vector<SettingRow> rows;
    addIdentity(rows);
    addAddresses(rows);
    addLimits(rows);
    addTimes(rows);
    addObservation(rows);
    addSecrets(rows);
    return rows;
}

} // namespace

const std::vector<SettingRow> &settingTable()
{
    static const std::vector<SettingRow> rows = makeTable();
    return rows;
}

const SettingRow *findSetting(std::string_view name)
{
    for (const SettingRow &it : settingTable()) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

std::string settingHelp(std::string_view name)
{
    const SettingRow *row = findSetting(name);
    if (row == nullptr) {
        return {};
    }
    std::string help = fmt::format("{} Allowed: {}.", row->meaning, row->allowed);
    if (!row->unit.empty()) {
        help += fmt::format(" Unit: {}.", row->unit);
    }
    help += row->required ? " Required." : fmt::format(" Default: {}.", row->defaultText.empty() ? "empty" : row->defaultText);
    help += fmt::format(" Environment: {}.", environmentName(name));
    return help;
}

} // namespace auburndrum
