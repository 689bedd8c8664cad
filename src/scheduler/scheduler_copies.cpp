#include "scheduler/scheduler.h"

#include "speculation/copy_choice.h"
#include "speculation/executor_speed.h"

#include <algorithm>

namespace parsleyglade {

namespace {

duration expectedRun(const wire::step_record &step, double ratio)
{
    return std::chrono::duration_cast<duration>(std::chrono::milliseconds(step.estimateMilliseconds) * ratio);
}

const wire::step_record &stepOf(const attached_run &attached)
{
    return attached.job->work.steps[static_cast<std::size_t>(attached.task.step)];
}

} // namespace

/** Whether most runs of the executor take far longer than expected. */
bool scheduler::isSlow(const executor_state &executor, time_point now) const
{
    std::vector<double> slowness;
    for (const attached_run &attached : executor.runs) {
        const scheduled_run *run = findRun(attached);
        const wire::step_record &step = stepOf(attached);
        if (run == nullptr || run->phase != run_phase::running || step.longRunning || run->startedAt == time_point{}) {
            continue;
        }
        const time_point reportedAt = run->progress > 0 ? run->progressAt : now;
        const auto projected = projectedSlowness(reportedAt - run->startedAt, expectedRun(step, runTimeRatio(attached.job->work.queue)), run->progress);
        if (projected) {
            slowness.push_back(*projected);
        }
    }
    return isSlowExecutor(std::move(slowness));
}

/** Notes the tasks on an executor of which a second copy may be worth its room; placeCopies() decides about them. */
void scheduler::findCopies(const executor_state &executor, time_point now)
{
    const auto mayCopy = [](const attached_run &attached) {
        const wire::step_record &step = stepOf(attached);
        return step.speculative && !step.gang && !step.longRunning;
    };
    if (executor.failedContacts > 0 || std::none_of(executor.runs.begin(), executor.runs.end(), mayCopy) || !isSlow(executor, now)) {
        return;
    }
    for (const attached_run &attached : executor.runs) {
        if (mayCopy(attached)) {
            m_copyCandidates.push_back(attached);
        }
    }
}

/** Starts second copies on other racks, after all tasks without a run have been placed. */
void scheduler::placeCopies(time_point now)
{
    for (const run_key &key : std::exchange(m_copyCandidates, {})) {
        scheduled_job *job = findMutableJob(key.task.job);
        scheduled_task *task = job == nullptr || isFinal(job->state) ? nullptr : findTask(*job, key.task);
        const queue_policy *queue = task == nullptr ? nullptr : queueOf(*job);
        if (queue == nullptr || task->done || task->runs.size() != 1 || task->runs.front().run != key.run || task->runs.front().phase != run_phase::running) {
            continue;
        }
        const wire::step_record &step = job->work.steps[static_cast<std::size_t>(key.task.step)];
        const scheduled_run &run = task->runs.front();
        const double ratio = runTimeRatio(queue->name);
        std::int64_t &copies = m_copiesMillicores[queue->name];
        const auto capacity = m_capacity.capacities().find(queue->service);

        copy_inputs inputs;
        inputs.isExecutorSlow = true;
        inputs.remaining = expectedEnd(run, step, ratio, now);
        inputs.expected = expectedRun(step, ratio);
        inputs.isRoomWanted = m_admission.expectedWait(queue->service) > duration::zero();
        inputs.copiesMillicores = copies;
        inputs.demandMillicores = reservedBy(step).cpuMillicores;
        inputs.capacityMillicores = capacity == m_capacity.capacities().end() ? 0 : capacity->second;
        if (chooseCopy(inputs) != copy_choice::copies || !hasRoomForTeam(*job, usedBy(step))) {
            continue;
        }
        executor_state *executor = chooseForCopy(*job, *queue, key.task, run.executor, now);
        if (executor == nullptr) {
            continue;
        }
        addTaskDecision("copy", key.task, executor->description.id,
                        "run=" + std::to_string(task->lastRun + 1) + " slow-executor=" + run.executor + " progress=" + std::to_string(run.progress)
                            + " remaining-ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(inputs.remaining).count())
                            + " expected-ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(inputs.expected).count())
                            + " copies-millicores=" + std::to_string(copies));
        ++countersOf(queue->service).copies;
        copies += inputs.demandMillicores;
        planRun(*job, key.task, *executor, task->lastRun + 1, now);
        task->runs.back().isCopy = true;
    }
}

/** Returns the tightest fit for a copy: on another rack than the slow executor, which others of its rack may share their trouble with, and not slow itself. */
executor_state *scheduler::chooseForCopy(const scheduled_job &job, const queue_policy &queue, const task_id &taskId, const std::string &slowExecutor,
                                         time_point now)
{
    constexpr int maximumVisits = 32; // a copy is not worth a search of the whole pool
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(taskId.step)];
    const executor_state *slow = findExecutor(slowExecutor);
    const capacity_index::entries &executors = m_capacity.ofService(queue.service);
    int visits = 0;
    for (auto candidate = executors.lower_bound(reservedBy(step).cpuMillicores); candidate != executors.end() && visits < maximumVisits;
         ++candidate, ++visits) {
        ++m_counters.candidateVisits;
        executor_state &executor = *candidate->executor;
        const bool isElsewhere = executor.description.id != slowExecutor
            && (slow == nullptr || slow->description.rack.empty() || executor.description.rack != slow->description.rack);
        if (isElsewhere && canRun(executor, step, taskId) && !isSlow(executor, now)) {
            return &executor;
        }
    }
    return nullptr;
}

/** Takes a copy that is gone off the count of its queue. */
void scheduler::releaseCopy(const scheduled_job &job, const scheduled_run &run, const wire::step_record &step)
{
    if (run.isCopy) {
        m_copiesMillicores[job.work.queue] -= reservedBy(step).cpuMillicores;
    }
}

} // namespace parsleyglade
