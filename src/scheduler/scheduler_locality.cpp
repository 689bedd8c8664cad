#include "scheduler/job_objective.h"
#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

namespace {

std::string toText(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

/** Whether the tasks of a step may run faster on one rack than on others. */
bool scheduler::hasNearRack(const wire::step_record &step)
{
    return !step.preferredRack.empty() || step.tightlyCoupled;
}

/** Returns the rack near which the tasks of a step run faster: that of its data, or that of the members of its group that have a run. Empty if there is
    none, or if the members are on several racks, where it makes no difference any more. */
std::string scheduler::findNearRack(const scheduled_job &job, const task_id &taskId) const
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(taskId.step)];
    if (!step.preferredRack.empty() || !step.tightlyCoupled) {
        return step.preferredRack;
    }
    std::string rack;
    for (const scheduled_task &member : job.occurrences[static_cast<std::size_t>(taskId.occurrence)].steps[static_cast<std::size_t>(taskId.step)].tasks) {
        for (const scheduled_run &run : member.runs) {
            const executor_state *executor = findExecutor(run.executor);
            if (executor == nullptr || (!rack.empty() && rack != executor->description.rack)) {
                return {};
            }
            rack = executor->description.rack;
        }
    }
    return rack;
}

/** Returns the forecast of a rack, which is made once in each round of placement. */
rack_forecast &scheduler::forecastOf(const std::string &service, const std::string &rack, time_point now)
{
    const auto known = m_rackForecasts.find({service, rack});
    if (known != m_rackForecasts.end()) {
        return known->second;
    }
    std::vector<executor_forecast> executors;
    for (const capacity_index::entry &entry : m_capacity.onRack(service, rack)) {
        ++m_counters.executorVisits;
        executor_forecast &forecast = executors.emplace_back();
        forecast.freeMillicores = entry.freeMillicores;
        for (const attached_run &attached : entry.executor->runs) {
            const scheduled_run *run = findRun(attached);
            const wire::step_record &step = attached.job->work.steps[static_cast<std::size_t>(attached.task.step)];
            if (run != nullptr && !step.longRunning) {
                forecast.ends.push_back({expectedEnd(*run, step, runTimeRatio(attached.job->work.queue), now), reservedBy(step).cpuMillicores});
            }
        }
    }
    return m_rackForecasts.try_emplace({service, rack}, std::move(executors)).first->second;
}

duration scheduler::expectedEnd(const scheduled_run &run, const wire::step_record &step, double ratio, time_point now)
{
    const auto expected = std::chrono::duration_cast<duration>(std::chrono::milliseconds(step.estimateMilliseconds) * ratio);
    if (run.startedAt == time_point{}) {
        return expected; // not started yet
    }
    if (run.progress == 0) {
        return expectedRemaining(now - run.startedAt, expected, 0);
    }
    return std::max(expectedRemaining(run.progressAt - run.startedAt, expected, run.progress) - (now - run.progressAt), duration::zero());
}

near_wait_inputs scheduler::makeNearInputs(const scheduled_job &job, const queue_policy &queue, const task_id &taskId, std::optional<duration> expectedWait,
                                           time_point now) const
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(taskId.step)];
    const scheduled_task &task = job.occurrences[static_cast<std::size_t>(taskId.occurrence)]
                                     .steps[static_cast<std::size_t>(taskId.step)]
                                     .tasks[static_cast<std::size_t>(taskId.index)];
    const auto scaled = [ratio = runTimeRatio(queue.name)](std::int64_t milliseconds) {
        return std::chrono::duration_cast<duration>(std::chrono::milliseconds(milliseconds) * ratio);
    };
    const std::int64_t untilDue = objectiveStart(job) + objectiveMilliseconds(job, queue) - m_wallNow.time_since_epoch().count();

    near_wait_inputs inputs;
    inputs.expectedWait = expectedWait;
    inputs.waited = task.nearWaitSince == time_point{} ? duration::zero() : now - task.nearWaitSince;
    inputs.runTime = scaled(step.estimateMilliseconds);
    inputs.remoteFactor = m_settings.remoteRunFactor;
    inputs.slack = std::chrono::milliseconds(untilDue) - scaled(pathFrom(job.work, taskId.step));
    inputs.isRoomWanted = m_admission.expectedWait(queue.service) > remoteLoss(inputs);
    return inputs;
}

/** Decides whether a task, or the group that it stands for, waits for room on a rack. Logs when it begins to wait, and when it starts elsewhere. */
bool scheduler::decideNearWait(scheduled_job &job, const queue_policy &queue, const task_id &taskId, const std::string &rack,
                               std::optional<duration> expectedWait, time_point now)
{
    const near_wait_inputs inputs = makeNearInputs(job, queue, taskId, expectedWait, now);
    const near_choice choice = chooseNear(inputs);
    scheduled_task &task = job.task(taskId);
    const bool waits = choice == near_choice::waits;
    const bool hasWaited = task.nearWaitSince != time_point{};
    if (waits && hasWaited) {
        return true;
    }
    if (waits) {
        task.nearWaitSince = now;
        ++countersOf(queue.service).nearWaits;
    } else {
        countersOf(queue.service).nearWaitTime += inputs.waited;
    }
    addTaskDecision(waits ? "wait-near" : "start-elsewhere", taskId, {},
                    "rack=" + rack + " choice=" + std::string(name(choice)) + " expected-wait=" + (expectedWait ? toText(*expectedWait) : "none")
                        + " waited=" + toText(inputs.waited) + " loss=" + toText(remoteLoss(inputs)) + " slack=" + toText(inputs.slack)
                        + " room-wanted=" + std::to_string(inputs.isRoomWanted ? 1 : 0));
    return waits;
}

/** Whether a task that could start on the given executor waits for a place near its data or its group instead. */
bool scheduler::waitsForNearPlace(scheduled_job &job, const queue_policy &queue, const task_id &taskId, const executor_state &executor, time_point now)
{
    if (m_settings.remoteRunFactor <= 1.0 || !hasNearRack(job.work.steps[static_cast<std::size_t>(taskId.step)])) {
        return false;
    }
    const std::string rack = findNearRack(job, taskId);
    if (rack.empty() || rack == executor.description.rack) {
        return false;
    }
    const std::int64_t demand = reservedBy(job.work.steps[static_cast<std::size_t>(taskId.step)]).cpuMillicores;
    rack_forecast &forecast = forecastOf(queue.service, rack, now);
    const bool waits = decideNearWait(job, queue, taskId, rack, forecast.waitFor(demand), now);
    if (waits) {
        forecast.queue(demand);
    }
    return waits;
}

/** Chooses a rack for a group of which no member has a run: the one that has room for all of it the soonest, and of those that have it now the fullest. The
    whole group waits for it, or starts wherever there is room. The wait of its first member stands for that of the group. */
scheduler::group_place scheduler::chooseGroupPlace(scheduled_job &job, const queue_policy &queue, int occurrence, int stepNumber, time_point now)
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(stepNumber)];
    if (m_settings.remoteRunFactor <= 1.0 || !step.tightlyCoupled || !step.preferredRack.empty()) {
        return {};
    }
    const std::int64_t tasks = countReadyTasks(job, occurrence, stepNumber);
    if (tasks < step.taskCount) {
        return {};
    }
    const task_id first{job.id, occurrence, stepNumber, 0};
    const std::int64_t demand = reservedBy(step).cpuMillicores;
    group_place place;
    std::optional<duration> shortest;
    std::int64_t leastFree = 0;
    for (const std::string &rack : m_capacity.racksOf(queue.service)) {
        rack_forecast line = forecastOf(queue.service, rack, now); // a copy, since only one rack gets the group
        const std::int64_t free = line.freeMillicores();
        std::optional<duration> wait = duration::zero();
        for (std::int64_t task = 0; task < tasks && wait; ++task) {
            wait = line.waitFor(demand);
            line.queue(demand);
        }
        if (wait && (!shortest || *wait < *shortest || (*wait == *shortest && free < leastFree))) {
            place.rack = rack;
            shortest = wait;
            leastFree = free;
        }
    }
    if (shortest == duration::zero()) {
        return place;
    }
    place.waits = m_capacity.largestFree(queue.service) >= demand && decideNearWait(job, queue, first, place.rack, shortest, now);
    return place;
}

/** Counts the start of a task that has a near rack, by whether it runs there. */
void scheduler::countPlace(scheduled_job &job, const task_id &taskId, const executor_state &executor, time_point now)
{
    scheduled_task &task = job.task(taskId);
    const std::string rack = findNearRack(job, taskId);
    if (rack.empty()) {
        return;
    }
    service_counters &counters = countersOf(job);
    const bool isNear = rack == executor.description.rack;
    ++(isNear ? counters.nearStarts : counters.remoteStarts);
    if (isNear && task.nearWaitSince != time_point{}) {
        counters.nearWaitTime += now - task.nearWaitSince;
    }
    task.nearWaitSince = time_point{};
}

} // namespace parsleyglade
