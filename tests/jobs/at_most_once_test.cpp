#include "simulated_host.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using namespace parsleyglade::testing;

namespace {

rc::Gen<std::vector<fault>> faultsOf(const std::vector<fault_kind> &kinds)
{
    const auto one = rc::gen::exec([kinds] {
        fault item;
        item.kind = static_cast<int>(*rc::gen::elementOf(kinds));
        item.atPercent = *rc::gen::inRange(0, 100);
        item.host = *rc::gen::inRange(0, job_simulation::hostCount);
        item.strength = *rc::gen::inRange(0, 100);
        return item;
    });
    return rc::gen::resize(12, rc::gen::container<std::vector<fault>>(one));
}

void print(const std::string &faultMix, const trial_counts &counts)
{
    std::cout << faultMix << ": " << counts.trials << " trials, " << counts.jobs << " jobs, " << counts.requests << " requests, " << counts.executions
              << " runs, " << counts.faults << " faults, " << counts.records << " records; completed " << counts.replies[static_cast<int>(job_state::completed)]
              << ", not run " << counts.replies[static_cast<int>(job_state::not_run)] << " (of these provisional while the key had run "
              << counts.provisionalAfterRun << ", records full " << counts.full << "), still running "
              << counts.replies[static_cast<int>(job_state::still_running)] << ", outcome unknown "
              << counts.replies[static_cast<int>(job_state::outcome_unknown)] << ", expired " << counts.expired << std::endl;
}

/** Guards against a job that runs twice and against replies that contradict the executions, under the given kinds of faults. */
void tryFaults(const std::string &faultMix, const std::vector<fault_kind> &kinds)
{
    constexpr int jobsEach = 30;
    trial_counts counts;
    rc::prop(faultMix, [&] {
        const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
        const auto faults = *faultsOf(kinds);
        job_simulation simulation(seed, jobsEach);
        simulation.run(faults, counts);
        for (const std::string &violation : simulation.violations()) {
            RC_LOG() << violation << " (trial seed " << seed << ")" << std::endl;
        }
        RC_ASSERT(simulation.violations().empty());
    });
    print(faultMix, counts);
}

} // namespace

TEST_CASE("at most once while processes are killed and frozen")
{
    tryFaults("processes killed and frozen", {fault_kind::kill, fault_kind::freeze, fault_kind::change_view});
}

TEST_CASE("at most once during network partitions")
{
    tryFaults("network partitions",
              {fault_kind::partition_one_way, fault_kind::partition_both_ways, fault_kind::drop_requests_to_log, fault_kind::drop_responses_from_log,
               fault_kind::split_views});
}

TEST_CASE("at most once while the log is unavailable and trimmed")
{
    tryFaults("log unavailable and trimmed", {fault_kind::log_down, fault_kind::trim, fault_kind::split_views, fault_kind::kill});
}

TEST_CASE("at most once while clocks jump")
{
    tryFaults("clocks jump", {fault_kind::clock_jump, fault_kind::change_view, fault_kind::split_views, fault_kind::retry_wave});
}

TEST_CASE("at most once in waves of cancellations and retries")
{
    tryFaults("waves of cancellations and retries", {fault_kind::cancel_wave, fault_kind::retry_wave, fault_kind::split_views, fault_kind::freeze});
}

TEST_CASE("at most once under all faults together")
{
    tryFaults("all faults",
              {fault_kind::kill, fault_kind::freeze, fault_kind::partition_one_way, fault_kind::partition_both_ways, fault_kind::drop_requests_to_log,
               fault_kind::drop_responses_from_log, fault_kind::log_down, fault_kind::clock_jump, fault_kind::split_views, fault_kind::change_view,
               fault_kind::trim, fault_kind::cancel_wave, fault_kind::retry_wave});
}
