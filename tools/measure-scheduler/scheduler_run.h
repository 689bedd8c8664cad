#pragma once

#include "fleet_model.h"
#include "scheduler/scheduler.h"

#include <random>
#include <string>
#include <vector>

namespace parsleyglade {

/** Load and duration of one measurement. */
struct run_settings
{
    int executors = 1100; /**< Over all services. */
    bool bursts = false; /**< Each queue in turn gets four times its mean rate, the others a twentieth of theirs. */
    duration length = std::chrono::seconds{20};
    duration drain{}; /**< Time after it without arrivals, in which accepted jobs can finish. */
    int roundShare = 1; /**< The leader gets one of so many rounds. */
    std::uint64_t seed = 1;
    double loadFactor = 1.0; /**< Multiplies the rate of all jobs. */
    int teams = 0; /**< Teams that submit the jobs; 0 for a deployment without teams. */
    double hotShare = 0.2; /**< Part of the usual jobs that the first team submits; the others share the rest equally. */
    double hotFactor = 1.0; /**< Multiplies the jobs of the first team. */
    double rateHeadroom = 1.9; /**< Rate of a team in the configuration, as a multiple of its usual jobs a second. */
    std::int64_t hotCapMillicores = 0; /**< Cap of the first team; 0 for none. */
    std::uint64_t (*allocationCount)() = nullptr; /**< Allocations of the program so far; not counted if null. */
};

/** Processor time of one kind of work. */
struct work_cost
{
    std::uint64_t calls = 0;
    double seconds = 0.0;
    std::uint64_t allocations = 0;
};

/** Result of one measurement. */
struct run_report
{
    std::uint64_t acceptedJobs = 0;
    std::uint64_t refusedJobs = 0;
    std::uint64_t completedJobs = 0;
    std::uint64_t lateJobs = 0; /**< Completed later than their objective. */
    std::uint64_t unfinishedJobs = 0; /**< Accepted and not completed at the end, without long-running ones. */
    std::uint64_t startedTasks = 0;
    std::uint64_t polls = 0;
    std::uint64_t batches = 0;
    std::uint64_t journalBytes = 0;
    std::vector<duration> quietStartDelays; /**< Of the jobs of all teams but the first. */
    std::uint64_t refusedQuietJobs = 0; /**< Of the refused jobs, those of all teams but the first. */
    std::vector<duration> startDelays; /**< From acceptance to the first start order of each job. */
    scheduler_counters afterSetUp; /**< Of the scheduler, once the long-running tasks have been placed. */
    scheduler_counters counters; /**< Of the scheduler, at the end. */
    work_cost submit, decide, batch, takePolls, pollResponse, startResponse, actions;
};

/** Drives a scheduler in simulated time against a modelled fleet and measures the processor time of each kind of work. */
class scheduler_run
{
public:
    explicit scheduler_run(run_settings settings);

    run_report measure();

private:
    void setUp();
    void submitJobs(time_point now);
    void submitJob(const std::string &queue, bool isLongRunning, time_point now);
    std::vector<team_policy> makeTeams() const;
    std::string drawTeam();
    double extraShare() const;
    void advance(time_point now);
    void carryOutActions(time_point now);
    void start(const start_order &order, time_point now);
    void handleResponse(const call_response &response, time_point now);
    void handleFinish(const std::string &job, time_point now);
    void exchangeBatches(time_point now);
    double arrivalRate(int queue, time_point now) const;
    wall_time wall(time_point now) const;

    run_settings m_settings;
    duration m_turn; /**< Between two rounds of decisions, as leader_task has it. */
    run_report m_report;
    scheduler m_scheduler{scheduler_settings{}};
    fleet_model m_fleet;
    std::mt19937_64 m_random;
    time_point m_start{std::chrono::seconds{100}};
    std::vector<double> m_dueJobs; /**< Fraction of a job that is due, by queue. */
    struct submitted_job
    {
        std::string job;
        std::string team;
    };
    std::unordered_map<call_token, submitted_job> m_calls; /**< Submitted jobs that were not responded to yet. */
    std::unordered_map<std::string, time_point> m_unfinishedJobs; /**< Accepted jobs, with the time of their acceptance. */
    std::unordered_map<std::string, time_point> m_waitingJobs; /**< Accepted jobs without a start order, with the time of acceptance. */
    struct start_delivery
    {
        start_order order;
        order_response response;
        time_point sentAt{};
    };
    std::vector<start_delivery> m_startResponses; /**< To be delivered in the next turn. */
    std::uint64_t m_unconfirmedBatch = 0;
    time_point m_confirmedAt{};
    std::uint64_t m_jobNumber = 0;
};

} // namespace parsleyglade
