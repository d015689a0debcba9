#include "timelinemerge.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace auburndrum::cli {

namespace {

using Json = nlohmann::ordered_json;

std::int64_t microseconds(const TimelineEvent &event)
{
    // The counter orders events within a millisecond.
    const auto within = std::min<std::int64_t>(event.time.counter, 999);
    return std::chrono::microseconds(event.time.wall.time_since_epoch()).count() + within;
}

std::string clockText(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto rest = (time - seconds).count();
    return fmt::format("{:%H:%M:%S}.{:03}", fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), rest);
}

Json traceInstant(const MergedEvent &it, int track)
{
    return Json{{"name", toText(it.event.kind)},
                {"ph", "i"},
                {"s", "t"},
                {"ts", microseconds(it.event)},
                {"pid", track},
                {"tid", 0},
                {"args", {{"request", it.event.requestId}, {"detail", it.event.detail}, {"time", toText(it.event.time)}}}};
}

Json traceSpan(const std::string &requestId, const MergedEvent &first, const MergedEvent &last, int track)
{
    return Json{{"name", requestId},
                {"ph", "X"},
                {"ts", microseconds(first.event)},
                {"dur", std::max<std::int64_t>(microseconds(last.event) - microseconds(first.event), 1)},
                {"pid", track},
                {"tid", 1}};
}

struct Span
{
    const MergedEvent *first = nullptr;
    const MergedEvent *last = nullptr;
};

} // namespace

std::vector<MergedEvent> mergeTimelines(const std::vector<TimelineReport> &reports)
{
    std::vector<MergedEvent> merged;
    for (const TimelineReport &report : reports) {
        for (const TimelineEvent &it : report.events) {
            merged.push_back({report.process, report.zone, it});
        }
    }
    std::stable_sort(merged.begin(), merged.end(), [](const MergedEvent &left, const MergedEvent &right) {
        return std::tie(left.event.time, left.process) < std::tie(right.event.time, right.process);
    });
    return merged;
}

std::string timelineText(const std::vector<MergedEvent> &events)
{
    std::string text;
    for (const MergedEvent &it : events) {
        text
            += fmt::format("{} {:<12} {:<24} {:<32} {}", clockText(it.event.time.wall), it.process, toText(it.event.kind), it.event.requestId, it.event.detail);
        text.erase(text.find_last_not_of(' ') + 1);
        text += '\n';
    }
    return text;
}

std::string timelineJson(const std::vector<MergedEvent> &events)
{
    std::string text;
    for (const MergedEvent &it : events) {
        const Json json{{"time", toText(it.event.time)},
                        {"process", it.process},
                        {"zone", it.zone},
                        {"kind", toText(it.event.kind)},
                        {"request", it.event.requestId},
                        {"detail", it.event.detail}};
        text += json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    }
    return text;
}

std::string timelineTrace(const std::vector<MergedEvent> &events)
{
    std::map<std::string, int> tracks;
    std::map<std::pair<std::string, int>, Span> spans;
    Json list = Json::array();
    for (const MergedEvent &it : events) {
        const int track = tracks.try_emplace(it.process, static_cast<int>(tracks.size()) + 1).first->second;
        list.push_back(traceInstant(it, track));
        if (it.event.requestId.empty()) {
            continue;
        }
        Span &span = spans[{it.event.requestId, track}];
        span.first = span.first == nullptr ? &it : span.first;
        span.last = &it;
    }
    for (const auto &[key, span] : spans) {
        list.push_back(traceSpan(key.first, *span.first, *span.last, key.second));
    }
    for (const auto &[process, track] : tracks) {
        list.push_back({{"name", "process_name"}, {"ph", "M"}, {"pid", track}, {"args", {{"name", process}}}});
    }
    return Json{{"traceEvents", std::move(list)}}.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace auburndrum::cli
