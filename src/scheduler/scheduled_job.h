#pragma once

#include "core/time_types.h"
#include "scheduler/run_phase.h"
#include "scheduler/task_id.h"
#include "scheduler/work_state.h"
#include "wire/wire.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** One run of a task that is alive, or may be. */
struct scheduled_run
{
    int run = 0;
    std::string executor;
    std::int64_t boot = 0;
    run_phase phase = run_phase::planned;
    bool mayArriveLate = false; /**< A start order of this run got no answer; it can still be carried out. */
    time_point orderedAt{}; /**< When the last start order was sent. */
    duration orderAge{}; /**< Of a restored run: least time since its last start order, where the earlier leader has resigned. */
    bool isConfirmed = false; /**< The executor has begun it, and no start order for it is under way. */
    bool orderOutstanding = false; /**< A start or stop order waits for its answer. */
    time_point since{}; /**< When the phase began. */
    time_point startedAt{}; /**< When the start was confirmed. */
    time_point pacedAt{}; /**< When the last pace order was sent. */
    int pace = 100; /**< Percent of its speed that the task may use, as last ordered. */
    int progress = 0; /**< Percent done; of a long-running task 100 when it is at work. */
    time_point progressAt{}; /**< When the progress last rose. */
    std::int64_t measured = 0; /**< The executor's last rough figure: response time in ms of a serving task, else millicores. */
};

/** Whether a start order of the run may be under way. */
inline bool mayHaveStartInFlight(const scheduled_run &run)
{
    return run.mayArriveLate || run.phase == run_phase::ordered || run.phase == run_phase::unanswered || (run.phase == run_phase::restored && !run.isConfirmed);
}

/** One task and its runs. */
struct scheduled_task
{
    int lastRun = 0;
    int failures = 0;
    bool done = false;
    std::string checkpoint; /**< The newest that is known; empty when there is none. */
    std::string lastExecutor; /**< Where the last run was. */
    time_point notBefore{}; /**< Earliest time of the next start. */
    std::vector<scheduled_run> runs;

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

/** One repetition of a job. A job that runs once has one. */
struct scheduled_occurrence
{
    wall_time due{};
    std::vector<scheduled_step> steps;
};

/** A job with all that the scheduler knows of it. */
struct scheduled_job
{
    std::string id;
    wire::work_record work;
    work_state state = work_state::queued;
    bool hasBegun = false; /**< A task is known to have started. */
    std::vector<scheduled_occurrence> occurrences;
    duration criticalPath{}; /**< Longest chain of declared run times. */
    wall_time finishedAt{};
    bool isNew = true; /**< The journal does not have the job itself yet. */
    std::uint64_t batch = 0; /**< The last batch that has the job. */
    bool changed = true; /**< The journal does not have the newest progress yet. */

    scheduled_task &task(const task_id &which)
    {
        return occurrences[static_cast<std::size_t>(which.occurrence)].steps[static_cast<std::size_t>(which.step)].tasks[static_cast<std::size_t>(which.index)];
    }
};

} // namespace parsleyglade
