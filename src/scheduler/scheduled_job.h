#pragma once

#include "core/time_types.h"
#include "scheduler/run_phase.h"
#include "scheduler/task_id.h"
#include "scheduler/work_state.h"
#include "teams/team_account.h"
#include "wire/resources.h"
#include "wire/wire.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/** A run of a task that is or may be alive. */
struct scheduled_run
{
    int run = 0;
    std::string executor;
    std::int64_t boot = 0;
    run_phase phase = run_phase::planned;
    bool mayArriveLate = false; /**< A start order of this run got no response and may still be carried out. */
    int startOrders = 0; /**< Start orders that were sent; of a restored run one, or two if there were more. */
    time_point orderedAt{}; /**< When the last start order was sent. */
    duration orderAge{}; /**< For a restored run whose previous leader resigned: minimum time between its last start order and the resignation. */
    bool isRestored = false; /**< Read from the journal: the previous leader may have ordered its stop. */
    bool isConfirmed = false; /**< The executor has confirmed the start, and no start order is in flight. */
    bool isCopy = false; /**< A second copy, started beside a run on a slow executor. Not known of a restored run. */
    bool isListed = false; /**< A poll response of the boot has listed the run. A start is confirmed without naming the boot. */
    bool isOrderInFlight = false; /**< A start or stop order is in flight. */
    time_point phaseStartedAt{}; /**< When the current phase began. */
    time_point startedAt{}; /**< When the confirmed start order was sent; for a restored run, when the executor first reported it. */
    time_point pacedAt{}; /**< When the last pace order was sent. */
    int pace = 100; /**< Percentage of its full speed that the task may use, as last ordered. */
    int progress = 0; /**< Progress in percent. A long-running task is at 100 once its start-up is complete. */
    time_point progressAt{}; /**< When the progress last increased. */
    std::int64_t measured = 0; /**< Last measurement: response time in milliseconds for a serving task, otherwise processor use in millicores. */
};

/** Whether a start order of the run may be in flight. */
inline bool mayHaveStartInFlight(const scheduled_run &run)
{
    return run.mayArriveLate || run.phase == run_phase::ordered || run.phase == run_phase::unanswered || (run.phase == run_phase::restored && !run.isConfirmed);
}

/** One task and its runs. */
struct scheduled_task
{
    int lastRun = 0; /**< Number of the latest run; 0 if there was none. */
    int failures = 0; /**< Runs that failed. A failed run of a gang counts for one of its members. */
    int lastFailedRun = 0; /**< Number of the latest run that failed; 0 if none has. */
    bool done = false;
    std::string checkpoint; /**< The latest known checkpoint; empty if there is none. */
    std::string lastExecutor; /**< Executor of the last run that ended. */
    time_point notBefore{}; /**< Earliest time at which the next run may be placed. */
    time_point nearWaitSince{}; /**< When the task first found room only away from its data or its group, and waited; zero if it does not wait. */
    std::vector<scheduled_run> runs;

    /** Whether the task needs a run and has none. */
    bool isWaiting() const
    {
        return !done && runs.empty();
    }
};

/** The tasks of one step of one occurrence. */
struct scheduled_step
{
    std::vector<scheduled_task> tasks;
    int doneCount = 0;

    bool isDone() const
    {
        return doneCount == static_cast<int>(tasks.size());
    }
};

/** One repetition of a job. A job that does not repeat has exactly one occurrence. */
struct scheduled_occurrence
{
    wall_time due{};
    std::vector<scheduled_step> steps;
};

/** A job and its scheduling state. */
struct scheduled_job
{
    std::string id;
    wire::work_record work;
    work_state state = work_state::queued;
    bool hasBegun = false; /**< A task is known to have started. */
    std::vector<scheduled_occurrence> occurrences;
    resources smallestDemand; /**< What a run of any of its tasks reserves at least of each resource. */
    duration criticalPath{}; /**< Declared run time of the longest chain of dependent steps. */
    team_account *team = nullptr; /**< Account that its runs are charged to. Set once the scheduler leads. */
    bool isLongRunning = false; /**< Has steps whose tasks run until the job is cancelled. */
    bool mayHaveWaitingTasks = true; /**< Something has changed since placement last found no task of the job waiting. */
    std::optional<time_point> awaitsStartSince; /**< When the job was accepted, until its first start order. Not set for a restored job. */
    wall_time finishedAt{};
    bool isNew = true; /**< The job description is not part of any journal batch yet. */
    std::uint64_t batch = 0; /**< Number of the last batch that contains the job. */
    bool changed = true; /**< The latest progress is not part of any journal batch yet. */

    /** Returns a task of this job. @pre the job has the task */
    scheduled_task &task(const task_id &taskId)
    {
        return occurrences[static_cast<std::size_t>(taskId.occurrence)]
            .steps[static_cast<std::size_t>(taskId.step)]
            .tasks[static_cast<std::size_t>(taskId.index)];
    }
};

} // namespace parsleyglade
