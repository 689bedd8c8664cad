#include "scheduler/job_objective.h"
#include "scheduler/scheduler.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace parsleyglade {

namespace {

// Placement costs, in millicores of unused capacity. Being on another rack than the data outweighs any fit.
constexpr std::int64_t otherRackCost = 1'000'000;
constexpr std::int64_t sameExecutorAgainCost = 500'000;
constexpr std::int64_t sharedWithServingCost = 100'000;
constexpr std::int64_t emptyExecutorCost = 200'000;

// Fillers are tasks that use idle capacity. They are slowed down when a serving task on the same executor exceeds the first of these response
// times, in percent of its target, and are sped up below the second.
constexpr std::int64_t slowFillersAbovePercent = 80;
constexpr std::int64_t speedUpFillersBelowPercent = 40;
constexpr int fullPace = 100;
constexpr int lowestPace = 10;

} // namespace

void scheduler::place(time_point now, wall_time wallNow)
{
    refreshTouched(now);
    m_rounds.clear();
    m_rackForecasts.clear();
    const std::vector<ranked_job> ranking = rankWaitingJobs(wallNow);
    if (m_configuration.hasTeams) {
        placeByShare(ranking, now, wallNow);
    } else {
        for (const ranked_job &ranked : ranking) {
            placeRanked(ranked, now, wallNow);
        }
    }
    placeCopies(now);
    updateAdmission(now);
}

void scheduler::placeRanked(const ranked_job &ranked, time_point now, wall_time wallNow)
{
    ++m_counters.jobVisits;
    service_round &round = m_rounds.try_emplace(ranked.queue->service, service_round{ranked.queue->service, {}, nullptr}).first->second;
    round.queue = ranked.queue;
    if (round.unplaceable && round.unplaceable->fitsInto(ranked.job->smallestDemand)) {
        return; // an earlier job of this round needed no more and found no room
    }
    placeJob(*ranked.job, round, now, wallNow);
    ranked.job->mayHaveWaitingTasks = hasWaitingTasks(*ranked.job);
}

bool scheduler::hasWaitingTasks(const scheduled_job &job)
{
    const auto hasWaiting = [](const scheduled_step &step) {
        return !step.isDone() && std::any_of(step.tasks.begin(), step.tasks.end(), [](const scheduled_task &task) { return task.isWaiting(); });
    };
    return std::any_of(job.occurrences.begin(), job.occurrences.end(),
                       [&](const scheduled_occurrence &occurrence) { return std::any_of(occurrence.steps.begin(), occurrence.steps.end(), hasWaiting); });
}

std::map<std::string, service_demand> scheduler::demands(time_point now)
{
    constexpr double millisecondsPerSecond = 1000;
    std::map<std::string, service_demand> result;
    for (auto &[service, arrivals] : m_arrivals) {
        const double rate = arrivals.rate(now);
        const double rise = std::max(arrivals.slope(now), 0.0) * toSeconds(m_settings.demandHorizon);
        result[service].inflowMillicores = static_cast<std::int64_t>((rate + std::min(rise, rate)) / millisecondsPerSecond);
    }
    team_headroom headroom;
    for (const scheduled_job *job : m_active) {
        const queue_policy *queue = queueOf(*job);
        if (queue != nullptr && (job->isLongRunning || job->mayHaveWaitingTasks) && latenessOf(*job, *queue, m_wallNow) <= 1) {
            addDemand(result[queue->service], *job, headroom);
        }
    }
    return result;
}

bool scheduler::isDemandRestored() const
{
    return m_isDemandRestored;
}

/** Adds the demand of the job's long-running steps, and of the waiting tasks of its other steps. */
void scheduler::addDemand(service_demand &demand, const scheduled_job &job, team_headroom &headroom) const
{
    for (std::size_t step = 0; step < job.work.steps.size(); ++step) {
        const wire::step_record &description = job.work.steps[step];
        const std::int64_t perTaskMillicores = reservedBy(description).cpuMillicores;
        if (description.longRunning) {
            demand.longRunningMillicores += perTaskMillicores * description.taskCount;
            if (description.maximumPerExecutor > 0) {
                const int executorsNeeded = (description.taskCount + description.maximumPerExecutor - 1) / description.maximumPerExecutor;
                demand.minimumExecutors = std::max(demand.minimumExecutors, executorsNeeded);
            }
            continue;
        }
        for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
            const std::int64_t waiting = countReadyTasks(job, static_cast<int>(occurrence), static_cast<int>(step));
            demand.waitingMillicores += perTaskMillicores * headroom.take(*job.team, perTaskMillicores, waiting);
        }
    }
}

/** Returns how late a job is: 0 for on time, 1 for late, 2 for too late to be useful. */
int scheduler::latenessOf(const scheduled_job &job, const queue_policy &queue, wall_time wallNow) const
{
    if (job.work.repeatCount > 0 || job.isLongRunning) {
        return 0;
    }
    const std::int64_t elapsed = wallNow.time_since_epoch().count() - objectiveStart(job);
    const std::int64_t objective = objectiveMilliseconds(job, queue);
    return elapsed > m_settings.uselessAfterObjectives * objective ? 2 : (elapsed > objective ? 1 : 0);
}

/** Ranks the jobs that may have a task to place. Jobs whose tasks all run or have ended are left out, and those for which no executor has room. */
std::vector<scheduler::ranked_job> scheduler::rankWaitingJobs(wall_time wallNow)
{
    std::vector<ranked_job> ranking;
    for (scheduled_job *job : m_active) {
        const queue_policy *queue = job->mayHaveWaitingTasks ? queueOf(*job) : nullptr;
        if (queue == nullptr) {
            continue;
        }
        m_capacity.noteDemand(queue->service, job->smallestDemand.memoryMegabytes);
        if (m_capacity.largestFree(queue->service) >= job->smallestDemand.cpuMillicores && hasRoomForTeam(*job, job->smallestDemand)) {
            ranking.push_back(
                {job, queue, job->work.beyondRate, latenessOf(*job, *queue, wallNow), objectiveStart(*job) + objectiveMilliseconds(*job, *queue)});
        }
    }
    // Where teams share the executors, steps of a begun job go before new jobs of the same team: what it has done so far would otherwise be of no use yet.
    const auto keyOf = [hasTeams = m_configuration.hasTeams](const ranked_job &ranked) {
        return std::tuple(ranked.queue->priority, !ranked.job->isLongRunning, ranked.isBeyondRate, ranked.lateness, hasTeams && !ranked.job->hasBegun,
                          ranked.dueMilliseconds);
    };
    std::sort(ranking.begin(), ranking.end(), [&](const ranked_job &left, const ranked_job &right) {
        return keyOf(left) != keyOf(right) ? keyOf(left) < keyOf(right) : left.job->id < right.job->id;
    });
    return ranking;
}

void scheduler::placeJob(scheduled_job &job, service_round &round, time_point now, wall_time wallNow)
{
    for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        for (std::size_t step = 0; step < job.work.steps.size(); ++step) {
            if (!isStepReady(job, static_cast<int>(occurrence), static_cast<int>(step), wallNow)) {
                continue;
            }
            if (job.work.steps[step].gang) {
                placeGang(job, round, static_cast<int>(occurrence), static_cast<int>(step), now);
            } else {
                placeStep(job, round, static_cast<int>(occurrence), static_cast<int>(step), now);
            }
        }
    }
}

bool scheduler::isStepReady(const scheduled_job &job, int occurrence, int step, wall_time wallNow) const
{
    const scheduled_occurrence &current = job.occurrences[static_cast<std::size_t>(occurrence)];
    if (current.steps[static_cast<std::size_t>(step)].isDone() || (job.work.repeatCount > 0 && wallNow < current.due)) {
        return false;
    }
    const auto &after = job.work.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&](int before) { return current.steps[static_cast<std::size_t>(before)].isDone(); });
}

/** Returns how many tasks of a step could start if there was capacity. */
std::int64_t scheduler::countReadyTasks(const scheduled_job &job, int occurrence, int step) const
{
    if (!isStepReady(job, occurrence, step, m_wallNow)) {
        return 0;
    }
    const auto &tasks = job.occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)].tasks;
    return std::count_if(tasks.begin(), tasks.end(), [](const scheduled_task &task) { return task.isWaiting(); });
}

void scheduler::placeStep(scheduled_job &job, service_round &round, int occurrence, int step, time_point now)
{
    auto &tasks = job.occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)].tasks;
    const group_place group = chooseGroupPlace(job, *round.queue, occurrence, step, now);
    if (group.waits) {
        return;
    }
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        scheduled_task &task = tasks[index];
        if (!task.isWaiting() || now < task.notBefore) {
            continue;
        }
        if (!hasRoomForTeam(job, usedBy(job.work.steps[static_cast<std::size_t>(step)]))) {
            return; // the other tasks of the step need the same resources
        }
        const task_id taskId{job.id, occurrence, step, static_cast<int>(index)};
        executor_state *executor = chooseExecutor(job, round, taskId, group.rack);
        if (executor == nullptr) {
            return;
        }
        if (waitsForNearPlace(job, *round.queue, taskId, *executor, now)) {
            continue;
        }
        planRun(job, taskId, *executor, task.lastRun + 1, now);
    }
}

void scheduler::placeGang(scheduled_job &job, service_round &round, int occurrence, int step, time_point now)
{
    auto &tasks = job.occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)].tasks;
    int lastRun = 0;
    for (const scheduled_task &task : tasks) {
        if (!task.isWaiting() || now < task.notBefore) {
            return;
        }
        lastRun = std::max(lastRun, task.lastRun);
    }

    resources whole;
    for (std::size_t member = 0; member < tasks.size(); ++member) {
        whole += usedBy(job.work.steps[static_cast<std::size_t>(step)]);
    }
    if (!hasRoomForTeam(job, whole)) {
        return;
    }
    const group_place group = chooseGroupPlace(job, *round.queue, occurrence, step, now);
    if (group.waits) {
        return;
    }
    const resources demand = reservedBy(job.work.steps[static_cast<std::size_t>(step)]);
    const std::optional<resources> unplaceableBefore = round.unplaceable;
    std::vector<executor_state *> chosen;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        executor_state *executor = chooseExecutor(job, round, {job.id, occurrence, step, static_cast<int>(index)}, group.rack);
        if (executor == nullptr) {
            break;
        }
        executor->used += demand;
        m_capacity.update(*executor);
        chosen.push_back(executor);
    }
    for (executor_state *executor : chosen) {
        executor->used -= demand;
        m_capacity.update(*executor);
    }
    if (chosen.size() < tasks.size()) {
        if (!chosen.empty()) {
            round.unplaceable = unplaceableBefore; // there was no room beside the other members, whose reservations are undone
        }
        return;
    }
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (waitsForNearPlace(job, *round.queue, {job.id, occurrence, step, static_cast<int>(index)}, *chosen[index], now)) {
            return; // the members of a gang start together
        }
    }
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        planRun(job, {job.id, occurrence, step, static_cast<int>(index)}, *chosen[index], lastRun + 1, now);
    }
}

executor_state *scheduler::chooseExecutor(scheduled_job &job, service_round &round, const task_id &taskId, const std::string &groupRack)
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(taskId.step)];
    const resources demand = reservedBy(step);
    if (round.unplaceable && round.unplaceable->fitsInto(demand)) {
        return nullptr;
    }

    // An earlier search in this round has found no room from its demand on. Unless this demand is smaller in another resource, it need not look there.
    const bool isExceeded
        = round.unplaceable && round.unplaceable->memoryMegabytes <= demand.memoryMegabytes && round.unplaceable->accelerators <= demand.accelerators;
    const std::int64_t limit = isExceeded ? round.unplaceable->cpuMillicores : std::numeric_limits<std::int64_t>::max();

    executor_choice best;
    best.nearRack = step.preferredRack.empty() ? groupRack : step.preferredRack;
    const capacity_index::entries &executors = m_capacity.ofService(round.service);
    if (step.fillsIdle) {
        compareAll(job, executors, taskId, best);
    } else {
        if (!best.nearRack.empty()) {
            compareTightest(job, m_capacity.onRack(round.service, best.nearRack), taskId, {0, limit}, best);
        }
        compareTightest(job, executors, taskId, {best.nearRack.empty() ? 0 : otherRackCost, limit}, best);
    }
    if (best.executor == nullptr && step.requiredLabel.empty() && step.maximumPerExecutor == 0) {
        round.unplaceable = demand;
    }
    return best.executor;
}

void scheduler::compareAll(scheduled_job &job, const capacity_index::entries &executors, const task_id &taskId, executor_choice &best)
{
    for (const capacity_index::entry &candidate : executors) {
        compare(job, *candidate.executor, taskId, best);
    }
}

/** Compares executors from the tightest fit on, and stops when no later one can cost less: the cost is the capacity left free and a penalty. */
void scheduler::compareTightest(scheduled_job &job, const capacity_index::entries &executors, const task_id &taskId, const search_bounds &bounds,
                                executor_choice &best)
{
    const std::int64_t demand = reservedBy(job.work.steps[static_cast<std::size_t>(taskId.step)]).cpuMillicores;
    for (auto candidate = executors.lower_bound(demand); candidate != executors.end(); ++candidate) {
        const bool isCostlier = best.executor != nullptr && candidate->freeMillicores + bounds.minimumPenalty >= best.cost;
        if (isCostlier || candidate->freeMillicores >= bounds.freeMillicoresLimit) {
            return;
        }
        compare(job, *candidate->executor, taskId, best);
    }
}

void scheduler::compare(scheduled_job &job, executor_state &executor, const task_id &taskId, executor_choice &best)
{
    ++m_counters.candidateVisits;
    if (!canRun(executor, job.work.steps[static_cast<std::size_t>(taskId.step)], taskId)) {
        return;
    }
    const std::int64_t cost = placementCost(job, taskId, executor, best.nearRack);
    if (cost < best.cost) {
        best.executor = &executor;
        best.cost = cost;
    }
}

bool scheduler::canRun(const executor_state &executor, const wire::step_record &step, const task_id &taskId) const
{
    const auto &labels = executor.description.labels;
    if (!reservedBy(step).fitsInto(executor.availableCapacity())) {
        return false;
    }
    if (!step.requiredLabel.empty() && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end()) {
        return false;
    }
    if (step.maximumPerExecutor == 0) {
        return true;
    }
    const auto present = std::count_if(executor.runs.begin(), executor.runs.end(), [&](const run_key &key) {
        return key.task.job == taskId.job && key.task.occurrence == taskId.occurrence && key.task.step == taskId.step;
    });
    return present < step.maximumPerExecutor;
}

int scheduler::countServing(const executor_state &executor)
{
    return static_cast<int>(std::count_if(executor.runs.begin(), executor.runs.end(), [](const attached_run &key) {
        return key.job->work.steps[static_cast<std::size_t>(key.task.step)].targetMilliseconds > 0;
    }));
}

bool scheduler::hasLongRunningTask(const executor_state &executor)
{
    return std::any_of(executor.runs.begin(), executor.runs.end(),
                       [](const attached_run &key) { return key.job->work.steps[static_cast<std::size_t>(key.task.step)].longRunning; });
}

std::int64_t scheduler::placementCost(scheduled_job &job, const task_id &taskId, const executor_state &executor, const std::string &nearRack)
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(taskId.step)];
    const scheduled_task &task = job.task(taskId);
    std::int64_t cost = 0;
    if (!nearRack.empty() && nearRack != executor.description.rack) {
        cost += otherRackCost;
    }
    if (task.lastFailedRun > 0 && task.lastExecutor == executor.description.id) {
        cost += sameExecutorAgainCost;
    }
    if (step.tightlyCoupled) {
        const auto &tasks = job.occurrences[static_cast<std::size_t>(taskId.occurrence)].steps[static_cast<std::size_t>(taskId.step)].tasks;
        for (const scheduled_task &other : tasks) {
            for (const scheduled_run &run : other.runs) {
                const executor_state *otherExecutor = findExecutor(run.executor);
                cost += otherExecutor != nullptr && otherExecutor->description.rack != executor.description.rack ? otherRackCost : 0;
            }
        }
    }

    const std::int64_t left = executor.availableCapacity().cpuMillicores;
    if (step.fillsIdle) {
        return cost + countServing(executor) * sharedWithServingCost - left;
    }
    if (step.longRunning && !hasLongRunningTask(executor)) {
        cost += emptyExecutorCost; // keep executors without long-running tasks free, so that their hosts can move to another pool
    }
    return cost + left;
}

void scheduler::planRun(scheduled_job &job, const task_id &taskId, executor_state &executor, int run, time_point now)
{
    scheduled_task &task = job.task(taskId);
    task.lastRun = run;
    scheduled_run &added = task.runs.emplace_back();
    added.run = run;
    added.executor = executor.description.id;
    added.boot = executor.description.boot;
    added.phaseStartedAt = now;

    if (hasNearRack(job.work.steps[static_cast<std::size_t>(taskId.step)])) {
        countPlace(job, taskId, executor, now);
    }
    const run_key key{taskId, run};
    attachRun(executor, job, key);
    m_capacity.update(executor);
    m_planned.push_back(key);
    markChanged(job);
}

void scheduler::paceFillers(executor_state &executor, time_point now)
{
    std::int64_t worstPercent = 0;
    for (const attached_run &key : executor.runs) {
        const scheduled_run *run = findRun(key);
        const auto target = key.job->work.steps[static_cast<std::size_t>(key.task.step)].targetMilliseconds;
        if (run != nullptr && run->phase == run_phase::running && target > 0) {
            worstPercent = std::max(worstPercent, run->measured * 100 / target);
        }
    }
    for (const attached_run &key : executor.runs) {
        scheduled_run *run = findRun(key);
        const bool fills = key.job->work.steps[static_cast<std::size_t>(key.task.step)].fillsIdle;
        if (run == nullptr || !fills || run->phase != run_phase::running || now - run->pacedAt < m_settings.paceInterval) {
            continue;
        }
        int percent = run->pace;
        if (worstPercent > 100) {
            percent = 0;
        } else if (worstPercent > slowFillersAbovePercent) {
            percent = std::max(percent / 2, lowestPace);
        } else if (worstPercent < speedUpFillersBelowPercent) {
            percent = std::min(std::max(percent * 2, lowestPace), fullPace);
        }
        if (percent != run->pace) {
            run->pacedAt = now;
            run->pace = percent;
            addTaskDecision("pace", key.task, executor.description.id,
                            "percent=" + std::to_string(percent) + " response-of-target=" + std::to_string(worstPercent));
            m_actions.emplace_back(pace_order{targetOf(executor), key.task, key.run, percent});
        }
    }
}

} // namespace parsleyglade
