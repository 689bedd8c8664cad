#include "report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace parsleyglade {

namespace {

constexpr int nameWidth = 46;
constexpr int valueWidth = 26;

std::string formatSpread(const measured_value &value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << value.mean() << " (" << value.minimum() << " to " << value.maximum() << ')';
    return text.str();
}

void writeDeployment(const std::vector<const policy_measurement *> &policies, std::ostream &output)
{
    output << "deployment " << policies.front()->deployment << '\n' << std::left << std::setw(nameWidth) << "  mean (least to greatest over seeds)";
    for (const policy_measurement *policy : policies) {
        output << std::setw(valueWidth) << policy->policy;
    }
    output << '\n';
    for (std::size_t row = 0; row < policies.front()->values.size(); ++row) {
        const auto &[name, first] = policies.front()->values[row];
        output << std::setw(nameWidth) << ("  " + name + ", " + first.unit);
        for (const policy_measurement *policy : policies) {
            output << std::setw(valueWidth) << formatSpread(policy->values[row].second);
        }
        output << '\n';
    }
    output << '\n';
}

} // namespace

void writeText(const report &results, std::ostream &output)
{
    const workload_settings &settings = results.plan.settings;
    output << "seeds " << results.plan.firstSeed << " to " << results.plan.firstSeed + results.plan.seeds - 1 << ", " << toSeconds(settings.arrivalDuration)
           << " s each, short load " << settings.shortLoad << ", long share " << settings.longShare << ", view delay " << toSeconds(settings.minimumViewDelay)
           << " to " << toSeconds(settings.maximumViewDelay) << " s\n\n";
    for (const deployment &model : results.plan.deployments) {
        std::vector<const policy_measurement *> policies;
        for (const policy_measurement &measurement : results.measurements) {
            if (measurement.deployment == model.name) {
                policies.push_back(&measurement);
            }
        }
        if (!policies.empty()) {
            writeDeployment(policies, output);
        }
    }
    for (const decision_timing &timing : results.timings) {
        output << "decision time, " << timing.workers << " workers in " << timing.pools << " pools: " << timing.decision << " p50 " << timing.p50Microseconds
               << " us, p99 " << timing.p99Microseconds << " us\n";
    }
}

void writeJson(const report &results, std::ostream &output)
{
    nlohmann::json document{
        {"firstSeed", results.plan.firstSeed}, {"seeds", results.plan.seeds}, {"seconds", toSeconds(results.plan.settings.arrivalDuration)}};
    document["measurements"] = nlohmann::json::array();
    for (const policy_measurement &measurement : results.measurements) {
        nlohmann::json values = nlohmann::json::object();
        for (const auto &[name, value] : measurement.values) {
            values[name] = {{"unit", value.unit}, {"mean", value.mean()}, {"least", value.minimum()}, {"greatest", value.maximum()}, {"bySeed", value.bySeed}};
        }
        document["measurements"].push_back({{"deployment", measurement.deployment}, {"policy", measurement.policy}, {"values", values}});
    }
    document["decisionTimes"] = nlohmann::json::array();
    for (const decision_timing &timing : results.timings) {
        document["decisionTimes"].push_back({{"size", timing.size},
                                             {"workers", timing.workers},
                                             {"pools", timing.pools},
                                             {"decision", timing.decision},
                                             {"p50Microseconds", timing.p50Microseconds},
                                             {"p99Microseconds", timing.p99Microseconds}});
    }
    output << document.dump(2) << '\n';
}

void writeCsv(const report &results, std::ostream &output)
{
    output << "deployment,policy,measure,unit,mean,least,greatest\n";
    for (const policy_measurement &measurement : results.measurements) {
        for (const auto &[name, value] : measurement.values) {
            output << measurement.deployment << ',' << measurement.policy << ",\"" << name << "\"," << value.unit << ',' << value.mean() << ','
                   << value.minimum() << ',' << value.maximum() << '\n';
        }
    }
    for (const decision_timing &timing : results.timings) {
        for (const auto &[name, value] : {std::pair{"decision time p50", timing.p50Microseconds}, std::pair{"decision time p99", timing.p99Microseconds}}) {
            output << timing.size << ',' << timing.decision << ",\"" << name << "\",us," << value << ',' << value << ',' << value << '\n';
        }
    }
}

} // namespace parsleyglade
