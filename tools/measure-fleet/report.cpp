#include "report.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

namespace parsleyglade {

namespace {

/** Mean, minimum and maximum over the seeds. */
struct spread
{
    double mean = 0;
    double minimum = 0;
    double maximum = 0;
};

template <typename Result> spread spreadOf(const std::vector<Result> &results, const std::function<double(const Result &)> &value)
{
    spread result{0, value(results.front()), value(results.front())};
    for (const Result &entry : results) {
        result.mean += value(entry) / static_cast<double>(results.size());
        result.minimum = std::min(result.minimum, value(entry));
        result.maximum = std::max(result.maximum, value(entry));
    }
    return result;
}

std::ostream &operator<<(std::ostream &out, const spread &value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(value.maximum < 10 ? 3 : 1) << value.mean << " (" << value.minimum << ".." << value.maximum << ")";
    return out << std::setw(26) << text.str();
}

void writeSpare(std::ostream &out, const std::vector<spare_result> &results)
{
    std::map<std::string, std::map<std::string, std::vector<spare_result>>> groups;
    for (const spare_result &result : results) {
        groups[result.deployment][result.policy].push_back(result);
    }
    using field = std::function<double(const spare_result &)>;
    const std::vector<std::pair<std::string, field>> fields{{"held host-hours",
                                                             [](const spare_result &entry) {
                                                                 return entry.heldHostHours;
                                                             }},
                                                            {"lent host-hours",
                                                             [](const spare_result &entry) {
                                                                 return entry.lentHostHours;
                                                             }},
                                                            {"host moves",
                                                             [](const spare_result &entry) {
                                                                 return static_cast<double>(entry.moves);
                                                             }},
                                                            {"cancelled moves",
                                                             [](const spare_result &entry) {
                                                                 return static_cast<double>(entry.cancelled);
                                                             }},
                                                            {"p99 wait in bursts, s",
                                                             [](const spare_result &entry) {
                                                                 return entry.p99BurstWaitSeconds;
                                                             }},
                                                            {"refused share",
                                                             [](const spare_result &entry) {
                                                                 return entry.refusedShare;
                                                             }},
                                                            {"mean move, s", [](const spare_result &entry) {
                                                                 return entry.meanMoveSeconds;
                                                             }}};
    for (const auto &[name, policies] : groups) {
        out << "spare policies, " << name << ": mean (least..most) over the seeds\n" << std::setw(24) << "";
        for (const char *policy : sparePolicies) {
            out << std::setw(26) << policy;
        }
        out << "\n";
        for (const auto &[label, value] : fields) {
            out << std::setw(24) << label;
            for (const char *policy : sparePolicies) {
                out << spreadOf<spare_result>(policies.at(policy), value);
            }
            out << "\n";
        }
        const auto mean = [&fields, &ofPolicy = policies](const char *policy, std::size_t index) {
            return spreadOf<spare_result>(ofPolicy.at(policy), fields[index].second).mean;
        };
        out << std::fixed << std::setprecision(3) << "queue-model: held to fixed-peak " << mean("queue-model", 0) / mean("fixed-peak", 0)
            << " (target 0.5), moves to reactive " << mean("queue-model", 2) / mean("reactive", 2) << " (target 0.2), p99 to reactive "
            << mean("queue-model", 4) / mean("reactive", 4) << " (target 0.5)\n\n";
    }
}

void writeCycles(std::ostream &out, const std::vector<cycle_result> &results)
{
    std::map<std::string, std::vector<cycle_result>> groups;
    for (const cycle_result &result : results) {
        groups[result.deployment].push_back(result);
    }
    for (const auto &[name, runs] : groups) {
        out << "maintenance cycle, " << name << ", " << runs.size() << " seeds, " << runs.front().hosts << " hosts\n";
        const auto writeRow = [&, &cycles = runs](const char *label, const std::function<double(const cycle_result &)> &value) {
            out << std::setw(40) << label << spreadOf<cycle_result>(cycles, value) << "\n";
        };
        writeRow("hosts done", [](const cycle_result &entry) { return static_cast<double>(entry.hostsDone); });
        writeRow("finished", [](const cycle_result &entry) { return entry.isFinished ? 1.0 : 0.0; });
        writeRow("hours", [](const cycle_result &entry) { return entry.hours; });
        writeRow("budget violations (pool × 10 s)", [](const cycle_result &entry) { return static_cast<double>(entry.violations); });
        writeRow("below minimum by failures (pool × 10 s)", [](const cycle_result &entry) { return static_cast<double>(entry.failuresAlone); });
        writeRow("pauses", [](const cycle_result &entry) { return static_cast<double>(entry.pauses); });
        writeRow("replans", [](const cycle_result &entry) { return static_cast<double>(entry.replans); });
        writeRow("checkpoints", [](const cycle_result &entry) { return static_cast<double>(entry.checkpoints); });
        writeRow("failures", [](const cycle_result &entry) { return static_cast<double>(entry.failures); });
        writeRow("restarts", [](const cycle_result &entry) { return static_cast<double>(entry.restarts); });
        writeRow("rack failures", [](const cycle_result &entry) { return static_cast<double>(entry.rackFailures); });
        out << "\n";
    }
}

} // namespace

std::string toText(const measurement &results)
{
    std::ostringstream out;
    writeSpare(out, results.spare);
    writeCycles(out, results.cycles);
    for (const plan_time_result &plan : results.plans) {
        out << std::fixed << std::setprecision(2) << "fleet plan, " << plan.hosts << " hosts, " << plan.pools << " pools: median " << plan.medianMilliseconds
            << " ms, maximum " << plan.maximumMilliseconds << " ms (target 50 ms)\n";
    }
    return out.str();
}

std::string toJson(const measurement &results)
{
    nlohmann::json document{{"spare", nlohmann::json::array()}, {"cycles", nlohmann::json::array()}, {"plans", nlohmann::json::array()}};
    for (const spare_result &run : results.spare) {
        document["spare"].push_back({{"deployment", run.deployment},
                                     {"policy", run.policy},
                                     {"seed", run.seed},
                                     {"heldHostHours", run.heldHostHours},
                                     {"lentHostHours", run.lentHostHours},
                                     {"moves", run.moves},
                                     {"cancelled", run.cancelled},
                                     {"p99BurstWaitSeconds", run.p99BurstWaitSeconds},
                                     {"refusedShare", run.refusedShare},
                                     {"meanMoveSeconds", run.meanMoveSeconds}});
    }
    for (const cycle_result &run : results.cycles) {
        document["cycles"].push_back({{"deployment", run.deployment},
                                      {"seed", run.seed},
                                      {"hosts", run.hosts},
                                      {"hostsDone", run.hostsDone},
                                      {"finished", run.isFinished},
                                      {"hours", run.hours},
                                      {"violations", run.violations},
                                      {"failuresAlone", run.failuresAlone},
                                      {"pauses", run.pauses},
                                      {"replans", run.replans},
                                      {"checkpoints", run.checkpoints},
                                      {"failures", run.failures},
                                      {"restarts", run.restarts},
                                      {"rackFailures", run.rackFailures}});
    }
    for (const plan_time_result &run : results.plans) {
        document["plans"].push_back(
            {{"hosts", run.hosts}, {"pools", run.pools}, {"medianMilliseconds", run.medianMilliseconds}, {"maximumMilliseconds", run.maximumMilliseconds}});
    }
    return document.dump(2) + "\n";
}

std::string toCsv(const measurement &results)
{
    std::ostringstream out;
    out << "kind,deployment,policy,seed,heldHostHours,lentHostHours,moves,cancelled,p99BurstWaitSeconds,refusedShare\n";
    for (const spare_result &run : results.spare) {
        out << "spare," << run.deployment << ',' << run.policy << ',' << run.seed << ',' << run.heldHostHours << ',' << run.lentHostHours << ',' << run.moves
            << ',' << run.cancelled << ',' << run.p99BurstWaitSeconds << ',' << run.refusedShare << '\n';
    }
    out << "kind,deployment,seed,hosts,hostsDone,finished,hours,violations,failuresAlone,pauses,replans\n";
    for (const cycle_result &run : results.cycles) {
        out << "cycle," << run.deployment << ',' << run.seed << ',' << run.hosts << ',' << run.hostsDone << ',' << run.isFinished << ',' << run.hours << ','
            << run.violations << ',' << run.failuresAlone << ',' << run.pauses << ',' << run.replans << '\n';
    }
    out << "kind,hosts,pools,medianMilliseconds,maximumMilliseconds\n";
    for (const plan_time_result &run : results.plans) {
        out << "plan," << run.hosts << ',' << run.pools << ',' << run.medianMilliseconds << ',' << run.maximumMilliseconds << '\n';
    }
    return out.str();
}

} // namespace parsleyglade
