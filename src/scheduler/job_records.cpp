#include "scheduler/job_records.h"

#include <algorithm>
#include <tuple>

namespace parsleyglade {

namespace {

// Limits of one job. A larger job is rejected as invalid.
constexpr int maximumSteps = 64;
constexpr int maximumTasksPerStep = 4'000;
constexpr int maximumOccurrences = 1'000;
constexpr std::int64_t maximumTasks = 4'000; // keeps a progress record below the journal's limit of 256 KiB

std::optional<std::string> findStepFault(const wire::step_record &step, int number)
{
    if (step.taskCount < 1 || step.taskCount > maximumTasksPerStep) {
        return "the number of tasks of a step is out of range";
    }
    if (step.demand.cpuMillicores < 0 || step.demand.memoryMegabytes < 0 || step.demand.accelerators < 0) {
        return "the resource demand of a step is negative";
    }
    const bool ordered = std::all_of(step.after.begin(), step.after.end(), [number](int before) { return before >= 0 && before < number; });
    if (!ordered) {
        return "a step depends on a step that is not before it";
    }
    return std::nullopt;
}

bool isKnownTask(const scheduled_job &job, const wire::task_record &record)
{
    if (record.occurrence < 0 || record.occurrence >= static_cast<int>(job.occurrences.size())) {
        return false;
    }
    const auto &steps = job.occurrences[static_cast<std::size_t>(record.occurrence)].steps;
    if (record.step < 0 || record.step >= static_cast<int>(steps.size())) {
        return false;
    }
    return record.index >= 0 && record.index < static_cast<int>(steps[static_cast<std::size_t>(record.step)].tasks.size());
}

wire::task_record toRecord(const scheduled_task &task, int occurrence, int step, int index, std::optional<time_point> resigned)
{
    wire::task_record record;
    record.occurrence = occurrence;
    record.step = step;
    record.index = index;
    record.lastRun = task.lastRun;
    record.failures = task.failures;
    record.lastFailedRun = task.lastFailedRun;
    record.done = task.done;
    if (!task.done) {
        record.checkpoint = task.checkpoint;
    }
    for (const scheduled_run &run : task.runs) {
        wire::run_record entry;
        entry.run = run.run;
        entry.executor = run.executor;
        entry.boot = run.boot;
        entry.confirmed = run.isConfirmed && !run.mayArriveLate;
        entry.repeated = run.mayArriveLate;
        if (resigned && mayHaveStartInFlight(run)) {
            const duration age = std::max(*resigned - run.orderedAt, duration::zero());
            entry.orderAgeMilliseconds = static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
        }
        record.runs.push_back(std::move(entry));
    }
    return record;
}

/** A chain of dependent steps. Chains are compared by run time first. */
struct step_chain
{
    std::int64_t milliseconds = 0;
    int steps = 0;

    friend bool operator<(const step_chain &left, const step_chain &right)
    {
        return std::tie(left.milliseconds, left.steps) < std::tie(right.milliseconds, right.steps);
    }
};

step_chain findLongestChain(const wire::work_record &work)
{
    std::vector<step_chain> chains; // the longest that ends with each step
    for (const wire::step_record &step : work.steps) {
        step_chain before;
        for (const int number : step.after) {
            before = std::max(before, chains[static_cast<std::size_t>(number)]);
        }
        chains.push_back({before.milliseconds + step.estimateMilliseconds, before.steps + 1});
    }
    return chains.empty() ? step_chain{} : *std::max_element(chains.begin(), chains.end());
}

/** Returns the smallest amount of each resource that a step of the job reserves. @pre the job has a step */
resources smallestDemandOf(const wire::work_record &work)
{
    resources smallest = reservedBy(work.steps.front());
    for (const wire::step_record &step : work.steps) {
        const resources demand = reservedBy(step);
        smallest.cpuMillicores = std::min(smallest.cpuMillicores, demand.cpuMillicores);
        smallest.memoryMegabytes = std::min(smallest.memoryMegabytes, demand.memoryMegabytes);
        smallest.accelerators = std::min(smallest.accelerators, demand.accelerators);
    }
    return smallest;
}

} // namespace

std::unique_ptr<scheduled_job> makeJob(std::string id, const wire::work_record &work)
{
    auto job = std::make_unique<scheduled_job>();
    job->id = std::move(id);
    job->work = work;
    job->criticalPath = computeCriticalPath(job->work);
    job->smallestDemand = smallestDemandOf(job->work);
    job->isLongRunning = std::any_of(work.steps.begin(), work.steps.end(), [](const wire::step_record &step) { return step.longRunning; });

    const bool timed = job->work.repeatCount > 0;
    const int count = timed ? job->work.repeatCount : 1;
    for (int number = 0; number < count; ++number) {
        scheduled_occurrence occurrence;
        const std::int64_t due = timed ? job->work.startAtMilliseconds + number * job->work.intervalMilliseconds : job->work.acceptedMilliseconds;
        occurrence.due = wall_time(std::chrono::milliseconds(due));
        for (const wire::step_record &step : job->work.steps) {
            scheduled_step &added = occurrence.steps.emplace_back();
            added.tasks.resize(static_cast<std::size_t>(step.taskCount));
        }
        job->occurrences.push_back(std::move(occurrence));
    }
    return job;
}

duration computeCriticalPath(const wire::work_record &work)
{
    return std::chrono::milliseconds(findLongestChain(work).milliseconds);
}

int countStartsInSequence(const wire::work_record &work)
{
    return findLongestChain(work).steps;
}

std::optional<std::string> findWorkFault(const wire::work_record &work)
{
    if (work.steps.empty() || work.steps.size() > maximumSteps) {
        return "the number of steps is out of range";
    }
    if (work.repeatCount < 0 || work.repeatCount > maximumOccurrences) {
        return "the number of repetitions is out of range";
    }

    std::int64_t tasks = 0;
    for (std::size_t number = 0; number < work.steps.size(); ++number) {
        if (auto fault = findStepFault(work.steps[number], static_cast<int>(number))) {
            return fault;
        }
        tasks += work.steps[number].taskCount;
    }
    if (tasks * std::max(work.repeatCount, 1) > maximumTasks) {
        return "the total number of tasks of the job is too large";
    }
    return std::nullopt;
}

wire::progress_record toProgress(const scheduled_job &job, std::optional<time_point> resigned)
{
    wire::progress_record progress;
    progress.state = static_cast<std::int32_t>(job.state);
    for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        const auto &steps = job.occurrences[occurrence].steps;
        for (std::size_t step = 0; step < steps.size(); ++step) {
            const auto &tasks = steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].lastRun > 0) {
                    progress.tasks.push_back(toRecord(tasks[index], static_cast<int>(occurrence), static_cast<int>(step), static_cast<int>(index), resigned));
                }
            }
        }
    }
    return progress;
}

void applyProgress(scheduled_job &job, const wire::progress_record &progress)
{
    if (progress.state >= 0 && progress.state < static_cast<int>(workStateNames.size())) {
        job.state = static_cast<work_state>(progress.state);
    }
    for (const wire::task_record &record : progress.tasks) {
        if (!isKnownTask(job, record)) {
            continue;
        }
        scheduled_step &step = job.occurrences[static_cast<std::size_t>(record.occurrence)].steps[static_cast<std::size_t>(record.step)];
        scheduled_task &task = step.tasks[static_cast<std::size_t>(record.index)];
        task.lastRun = record.lastRun;
        task.failures = record.failures;
        task.lastFailedRun = record.lastFailedRun;
        task.checkpoint = record.checkpoint;
        task.done = record.done;
        job.hasBegun = job.hasBegun || record.done || record.lastFailedRun > 0 || record.failures > 0 || !record.checkpoint.empty();
        step.doneCount += record.done ? 1 : 0;
        for (const wire::run_record &entry : record.runs) {
            scheduled_run &run = task.runs.emplace_back();
            run.run = entry.run;
            run.executor = entry.executor;
            run.boot = entry.boot;
            run.isConfirmed = entry.confirmed;
            job.hasBegun = job.hasBegun || entry.confirmed;
            run.phase = run_phase::restored;
            run.isRestored = true;
            run.startOrders = entry.repeated ? 2 : 1;
            run.orderAge = std::chrono::milliseconds{entry.orderAgeMilliseconds};
        }
    }
    job.isNew = false;
    job.changed = false;
}

} // namespace parsleyglade
