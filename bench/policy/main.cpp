#include "report.h"
#include "simulation.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the workload and of every random choice");
ABSL_FLAG(double, hours, 0.5, "measured hours of virtual time; twice as many warm up");
ABSL_FLAG(std::string, user, "", "only this user");
ABSL_FLAG(std::string, fault, "", "only this fault");
ABSL_FLAG(std::string, policy, "", "only this policy");
ABSL_FLAG(bool, overload, true, "run the overload part");

namespace {

using namespace auburndrum::bench;

bool wanted(const std::string &flag, std::string_view name)
{
    return flag.empty() || flag == name;
}

RunSettings settingsFor(const Profile &profile)
{
    RunSettings settings;
    settings.profile = profile;
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.measured = seconds(3600 * absl::GetFlag(FLAGS_hours));
    settings.warmUp = 2 * settings.measured;
    return settings;
}

void runFaults(const Profile &profile, Report &report)
{
    for (const Fault fault : Faults) {
        if (!wanted(absl::GetFlag(FLAGS_fault), nameOf(fault))) {
            continue;
        }
        for (const Policy policy : Policies) {
            if (!wanted(absl::GetFlag(FLAGS_policy), nameOf(policy))) {
                continue;
            }
            RunSettings settings = settingsFor(profile);
            settings.policy = policy;
            settings.fault = fault;
            report.add(settings, Simulation(settings).run());
        }
    }
}

void runOverload(const Profile &profile, Report &report)
{
    for (const double load : {1.0, 1.5, 2.0, 5.0}) {
        RunSettings settings = settingsFor(profile);
        settings.load = load;
        settings.measured = settings.measured / 4;
        settings.warmUp = settings.warmUp / 4;
        report.addOverload(settings, Simulation(settings).run());
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    Report report;
    for (const Profile &profile : {lounasverkko(), asociacion()}) {
        if (!wanted(absl::GetFlag(FLAGS_user), profile.name)) {
            continue;
        }
        runFaults(profile, report);
        if (absl::GetFlag(FLAGS_overload)) {
            runOverload(profile, report);
        }
    }
    report.printTargets();
    return 0;
}
