#pragma once

#include "auburndrum/base/timeline.h"

namespace auburndrum::cli {

/// One event and where it happened.
struct MergedEvent
{
    std::string process;
    std::string zone;
    TimelineEvent event;
};

/// Events of all reports in causal order: by hybrid time, then by process.
std::vector<MergedEvent> mergeTimelines(const std::vector<TimelineReport> &reports);

/// One line an event, with the time in UTC.
std::string timelineText(const std::vector<MergedEvent> &events);

/// One JSON object a line.
std::string timelineJson(const std::vector<MergedEvent> &events);

/// Trace event format, which trace viewers open: one track a process, instant events, and a span for each request.
std::string timelineTrace(const std::vector<MergedEvent> &events);

} // namespace auburndrum::cli
