#pragma once

#include "auburndrum/base/timeline.h"

namespace auburndrum::cli {

/// One event with the process and zone in which it happened.
struct MergedEvent
{
    std::string process;
    std::string zone;
    TimelineEvent event;
};

/// Events of all reports in causal order: by hybrid time, then by process.
std::vector<MergedEvent> mergeTimelines(const std::vector<TimelineReport> &reports);

/// Formats one line per event, with the time in UTC.
std::string timelineText(const std::vector<MergedEvent> &events);

/// Formats one JSON object per line and event.
std::string timelineJson(const std::vector<MergedEvent> &events);

/// Formats events in the Trace Event Format: one track per process, an instant for each event and a span for each request.
std::string timelineTrace(const std::vector<MergedEvent> &events);

} // namespace auburndrum::cli
