#pragma once

#include "deployment.h"
#include "policy_choice.h"
#include "run_result.h"
#include "workload_settings.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** One measure of one policy, with a value for each seed. */
struct measured_value
{
    std::string unit;
    std::vector<double> bySeed;

    double mean() const;
    double minimum() const;
    double maximum() const;
};

/** All measures of one policy in one deployment, by name. */
struct policy_measurement
{
    std::string deployment;
    std::string policy;
    std::vector<std::pair<std::string, measured_value>> values;
};

/** Which runs a measurement consists of. */
struct measurement_plan
{
    std::vector<deployment> deployments;
    std::vector<policy_choice> policies;
    workload_settings settings;
    std::uint64_t firstSeed = 1;
    std::size_t seeds = 10;
    std::size_t threads = 4;
};

/** Runs each policy in each deployment with each seed, with long jobs and without. */
std::vector<policy_measurement> measure(const measurement_plan &plan);

} // namespace parsleyglade
