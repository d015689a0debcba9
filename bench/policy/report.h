#pragma once

#include "simulation.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace auburndrum::bench {

/// Prints each run as a table line and a JSON line, and in the end compares them with issue 5's targets.
class Report
{
public:
    void add(const RunSettings &settings, const RunResult &result);
    void addOverload(const RunSettings &settings, const RunResult &result);
    void printTargets() const;

private:
    struct Line
    {
        double p50 = 0;
        double p95 = 0;
        double p99 = 0;
        double recomputed = 0;
        double linkMegabytes = 0;
        double refused = 0;
    };

    using Key = std::tuple<std::string, Fault, Policy>;

    const Line *find(const std::string &user, Fault fault, Policy policy) const;
    double bestBaseline(const std::string &user, double Line::*measure) const;
    double bestUnstarved(const std::string &user, double Line::*measure, double Line::*other) const;
    void printUser(const std::string &user) const;
    void printFaults(const std::string &user) const;
    void printOverload(const std::string &user) const;

    std::map<Key, Line> m_lines;
    std::map<std::pair<std::string, double>, double> m_goodput; ///< per second, by user and load
    std::vector<std::string> m_users;
};

} // namespace auburndrum::bench
