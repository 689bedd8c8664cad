#include "measurement.h"
#include "report.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

using namespace parsleyglade;

namespace {

/** Values of the command line. Times are in seconds. */
struct options
{
    measurement_plan plan;
    std::vector<std::string> deployments{"hung-phat", "austral-pistas"};
    std::vector<std::string> policies;
    double seconds = 300.0;
    double minimumViewDelay = 0.1;
    double maximumViewDelay = 2.0;
    std::size_t entryHosts = 0; /**< Per data centre; 0 keeps the number that the deployment defines. */
    double maximumShortWait = toSeconds(admission_settings{}.maximumShortWait);
    std::size_t maximumJobs = admission_settings{}.maximumJobs;
    double longJobSlotShare = endpoint_limits{}.longJobSlotShare;
    bool json = false;
    bool csv = false;
    bool noTimings = false;
};

duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void addOptions(CLI::App &app, options &chosen)
{
    app.add_option("--deployment", chosen.deployments, "deployments to simulate")->check(CLI::IsMember({"hung-phat", "austral-pistas", "two-year-size"}));
    app.add_option("--policy", chosen.policies, "policies to measure; all by default");
    app.add_option("--first-seed", chosen.plan.firstSeed, "first seed");
    app.add_option("--seeds", chosen.plan.seeds, "number of consecutive seeds")->check(CLI::Range(1, 1000));
    app.add_option("--seconds", chosen.seconds, "virtual time, in seconds, during which jobs arrive")->check(CLI::Range(1.0, 86400.0));
    app.add_option("--threads", chosen.plan.threads, "maximum number of concurrent runs")->check(CLI::Range(1, 64));
    app.add_option("--short-load", chosen.plan.settings.shortLoad, "mean work of short jobs as a share of the slots")->check(CLI::Range(0.001, 10.0));
    app.add_option("--long-share", chosen.plan.settings.longShare, "share of the jobs that are long")->check(CLI::Range(0.0, 0.5));
    app.add_option("--least-view-delay", chosen.minimumViewDelay, "minimum age, in seconds, of another entry host's load report on arrival")
        ->check(CLI::Range(0.0, 60.0));
    app.add_option("--greatest-view-delay", chosen.maximumViewDelay, "maximum age, in seconds, of another entry host's load report on arrival")
        ->check(CLI::Range(0.0, 60.0));
    app.add_option("--entry-hosts", chosen.entryHosts, "entry hosts in each data centre; 0 keeps the number that the deployment defines")
        ->check(CLI::Range(0, 20));
    app.add_option("--maximum-short-wait", chosen.maximumShortWait,
                   "expected wait, in seconds, above which short jobs are refused (admission_settings::maximumShortWait)")
        ->check(CLI::Range(0.01, 3600.0));
    app.add_option("--maximum-jobs", chosen.maximumJobs, "maximum number of jobs queued for a pool at one entry host, for all policies")
        ->check(CLI::Range(1, 1000000));
    app.add_option("--long-job-slot-share", chosen.longJobSlotShare, "endpoint_limits::longJobSlotShare")->check(CLI::Range(0.0, 1.0));
    app.add_flag("--callers-retry", chosen.plan.settings.callersRetry, "callers send refused jobs again after the Retry-After time, until their deadline");
    app.add_flag("--json", chosen.json, "write JSON");
    app.add_flag("--csv", chosen.csv, "write CSV");
    app.add_flag("--no-timings", chosen.noTimings, "omit the decision times, which are measured in real time and vary between runs");
}

void completePlan(options &chosen)
{
    measurement_plan &plan = chosen.plan;
    plan.settings.arrivalDuration = fromSeconds(chosen.seconds);
    plan.settings.minimumViewDelay = fromSeconds(chosen.minimumViewDelay);
    plan.settings.maximumViewDelay = fromSeconds(chosen.maximumViewDelay);
    for (deployment model : {hungPhat(), australPistas(), twoYearSize()}) {
        if (std::find(chosen.deployments.begin(), chosen.deployments.end(), model.name) == chosen.deployments.end()) {
            continue;
        }
        if (chosen.entryHosts > 0) {
            model.entryHostsByDataCentre.assign(model.entryHostsByDataCentre.size(), chosen.entryHosts);
        }
        plan.deployments.push_back(std::move(model));
    }
    for (policy_choice &choice : policyChoices()) {
        choice.admission.maximumShortWait = fromSeconds(chosen.maximumShortWait);
        choice.admission.maximumJobs = chosen.maximumJobs;
        choice.limits.longJobSlotShare = chosen.longJobSlotShare;
        const bool isChosen = std::find(chosen.policies.begin(), chosen.policies.end(), choice.name) != chosen.policies.end();
        if (chosen.policies.empty() || isChosen) {
            plan.policies.push_back(std::move(choice));
        }
    }
}

} // namespace

/** Measures the placement and admission decisions against baselines in virtual time. */
int main(int argc, char *argv[])
{
    CLI::App app{"Measures the placement and admission decisions against baselines in virtual time."};
    options chosen;
    addOptions(app, chosen);
    CLI11_PARSE(app, argc, argv);
    completePlan(chosen);

    report results{chosen.plan, measure(chosen.plan), {}};
    if (!chosen.noTimings) {
        results.timings = timeDecisions(chosen.plan.firstSeed);
    }

    if (chosen.json) {
        writeJson(results, std::cout);
    } else if (chosen.csv) {
        writeCsv(results, std::cout);
    } else {
        writeText(results, std::cout);
    }

    return 0;
}
