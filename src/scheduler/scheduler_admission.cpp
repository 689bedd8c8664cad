#include "scheduler/scheduler.h"

#include "scheduler/job_records.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// Longest wait of a planned run for its start order unless the leader is overloaded: the batch in flight and its own, of 50 ms each.
constexpr duration expectedStartDelay = std::chrono::milliseconds{100};

duration excessOf(duration startDelay)
{
    return std::max(startDelay - expectedStartDelay, duration::zero());
}

} // namespace

/** Returns the time after which the caller of a job may retry if the job would wait too long, or nothing if it should be accepted. Timed and
    long-running jobs are always accepted, since their tasks do not have to start at once. */
std::optional<duration> scheduler::findRetryDelay(const std::string &job, const wire::work_record &work, const queue_policy &queue, team_account &team,
                                                  bool isBeyondRate)
{
    const bool isLongRunning = std::any_of(work.steps.begin(), work.steps.end(), [](const wire::step_record &step) { return step.longRunning; });
    if (isLongRunning || work.repeatCount > 0) {
        return std::nullopt;
    }
    const duration path = std::chrono::duration_cast<duration>(computeCriticalPath(work) * runTimeRatio(queue.name));
    const duration objective = std::chrono::duration_cast<duration>(path * queue.stretch) + std::chrono::milliseconds(queue.targetMilliseconds);
    const duration slack = std::chrono::duration_cast<duration>((objective - path) * m_settings.admittedSlackShare);
    // A job beyond the rate of its team is accepted only into room that nobody else needs: if it can be on time behind all that waits.
    const duration controlLimit = isBeyondRate ? duration::zero() : slack;
    const duration capacityLimit = isBeyondRate ? slack : objective * m_settings.uselessAfterObjectives - path;
    const int starts = countStartsInSequence(work);
    const submitting_team submitter{&team, m_teams.weightOf(team), isBeyondRate};
    auto retryDelay = m_admission.findRetryDelay(queue.service, submitter, capacityLimit, controlLimit, job, starts);
    if (retryDelay) {
        if (isBeyondRate) {
            retryDelay = std::max(*retryDelay, team.allowance.reserveReturn(m_now));
        }
        const auto toText = [](duration time) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
        };
        addDecision("refuse", job, {},
                    "queue=" + queue.name + " team=" + team.policy.name + " beyond-rate=" + std::to_string(isBeyondRate ? 1 : 0) + " expected-wait="
                        + toText(m_admission.expectedWait(queue.service, submitter)) + " wait-limit=" + toText(capacityLimit) + " control-delay="
                        + toText(m_admission.controlDelay(starts)) + " delay-limit=" + toText(controlLimit) + " retry-after=" + toText(*retryDelay));
    }
    return retryDelay;
}

/** Measures how far apart the rounds of decisions are. An overloaded leader delays every job by several rounds. */
void scheduler::measureDecisionInterval(time_point now)
{
    constexpr int smoothing = 8; // rounds over which the interval is averaged
    m_decisionInterval += (std::min(now - m_now, m_settings.maximumDecisionInterval) - m_decisionInterval) / smoothing;
    const duration excess = std::max(m_decisionInterval - m_settings.expectedDecisionInterval, duration::zero());
    m_admission.setRoundDelay(excess * m_settings.decisionRoundsPerJob);
}

/** Measures how long planned runs wait until their start is ordered. The rate of batches may be low although rounds of decisions are frequent. */
void scheduler::measureStartDelay(time_point now)
{
    if (m_planned.empty() && m_recording.empty()) {
        m_startDelay.forgetIfOld(now);
    }
    const duration batchAge = m_isBatchUnconfirmed ? now - m_batchTakenAt : duration::zero();
    m_admission.setStartDelay(excessOf(m_startDelay.expected()), excessOf(batchAge));
}

/** Adds the waits of runs that the journal has and whose start is about to be ordered. They count up to twice the time of their batch: what they have waited
    beyond it is due to a late batch before, which is over. */
void scheduler::addStartWaits(const std::vector<run_key> &recorded, time_point now)
{
    duration sum{};
    int runs = 0;
    for (const run_key &key : recorded) {
        const scheduled_run *run = findRun(key);
        if (run != nullptr && run->phase == run_phase::recording) {
            sum += now - run->phaseStartedAt;
            ++runs;
        }
    }
    if (runs > 0) {
        m_startDelay.add(std::min(sum / runs, (now - m_batchTakenAt) * 2), now);
    }
}

double scheduler::runTimeRatio(const std::string &queue) const
{
    const auto found = m_runTimeRatios.find(queue);
    return found == m_runTimeRatios.end() ? 1.0 : found->second.value();
}

/** Measures the work that waits for each service and the capacity of its executors. */
void scheduler::updateAdmission(time_point now)
{
    if (now < m_nextAdmissionUpdate) {
        return;
    }
    m_nextAdmissionUpdate = now + m_settings.admissionInterval;
    std::map<std::string, service_load> loads;
    for (const auto &[service, capacity] : m_capacity.capacities()) {
        loads[service].capacityMillicores = capacity;
    }
    team_headroom headroom;
    for (const scheduled_job *job : m_active) {
        const queue_policy *queue = job->isLongRunning || job->mayHaveWaitingTasks ? queueOf(*job) : nullptr;
        if (queue != nullptr) {
            addWaitingWork(loads[queue->service], *job, headroom);
        }
    }
    updateTeamCapacity();
    m_admission.update(std::move(loads));
}

void scheduler::addWaitingWork(service_load &load, const scheduled_job &job, team_headroom &headroom) const
{
    const double ratio = runTimeRatio(job.work.queue);
    for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        for (std::size_t step = 0; step < job.work.steps.size(); ++step) {
            const wire::step_record &description = job.work.steps[step];
            const std::int64_t perTaskMillicores = reservedBy(description).cpuMillicores;
            if (description.longRunning) {
                load.capacityMillicores -= perTaskMillicores * description.taskCount;
                continue;
            }
            const std::int64_t waiting = countReadyTasks(job, static_cast<int>(occurrence), static_cast<int>(step));
            if (waiting == 0) {
                continue;
            }
            const double workPerTask = ratio * static_cast<double>(perTaskMillicores * description.estimateMilliseconds);
            const std::int64_t startable = headroom.take(*job.team, perTaskMillicores, waiting);
            load.add({job.team, m_teams.weightOf(*job.team), job.work.beyondRate}, workPerTask * static_cast<double>(startable),
                     workPerTask * static_cast<double>(waiting - startable));
        }
    }
}

} // namespace parsleyglade
