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

/** One metric of one policy, with a value for each seed. The statistics are 0 without values. */
struct measured_value
{
    std::string unit;
    std::vector<double> bySeed;

    double mean() const;
    double minimum() const;
    double maximum() const;
};

/** All metrics of one policy in one deployment. */
struct policy_measurement
{
    std::string deployment;
    std::string policy;
    std::vector<std::pair<std::string, measured_value>> values; /**< Names and values, in the order of the printed table. */
};

/** The runs that make up a measurement. */
struct measurement_plan
{
    std::vector<deployment> deployments;
    std::vector<policy_choice> policies;
    workload_settings settings;
    std::uint64_t firstSeed = 1;
    std::size_t seeds = 10; /**< Number of consecutive seeds. */
    std::size_t threads = 4; /**< Maximum number of concurrent runs. */
};

/** Runs each policy in each deployment with each seed, once with and once without long jobs. */
std::vector<policy_measurement> measure(const measurement_plan &plan);

} // namespace parsleyglade
