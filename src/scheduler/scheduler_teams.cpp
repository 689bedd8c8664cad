#include "scheduler/scheduler.h"

#include "teams/fair_order.h"

#include <algorithm>
#include <tuple>

namespace parsleyglade {

namespace {

// Between two log lines that say that the same team has reached its cap.
constexpr duration heldLogInterval = std::chrono::seconds{1};

// Between two sums of the capacity of all executors. It changes little from second to second, and shares are compared with one another.
constexpr duration teamCapacityInterval = std::chrono::seconds{1};

// Accepted jobs of this age or younger are taken from the allowances of their teams at a takeover: the allowance holds the jobs of one second.
constexpr std::int64_t allowanceMilliseconds = 1'000;

std::string describe(const resources &amount)
{
    return std::to_string(amount.cpuMillicores) + "m," + std::to_string(amount.memoryMegabytes) + "MB," + std::to_string(amount.accelerators);
}

} // namespace

/** Returns the account that the runs of a job are charged to. Jobs that were submitted without a key share one without a cap. */
team_account &scheduler::accountOf(const wire::work_record &work)
{
    return m_teams.account(work.__isset.team ? work.team : std::string());
}

/** Takes what earlier leaders have accepted last from the allowances, so that a team does not gain a second's worth of jobs by a change of leader. */
void scheduler::restoreAllowances()
{
    const std::int64_t cutoff = m_wallNow.time_since_epoch().count() - allowanceMilliseconds;
    for (const auto &[id, job] : m_jobs) {
        if (job->team != nullptr && job->work.acceptedMilliseconds > cutoff && !job->work.beyondRate) {
            job->team->allowance.take(m_now);
        }
    }
}

/** Returns why a job can never run within the cap of its team, if it can't. */
std::optional<std::string> scheduler::findCapFault(const wire::work_record &work, const team_account &team)
{
    team_account idle;
    idle.policy.cap = team.policy.cap;
    for (const wire::step_record &step : work.steps) {
        resources demand;
        for (int task = 0; task < (step.gang ? step.taskCount : 1); ++task) {
            demand += usedBy(step);
        }
        if (!idle.hasRoomFor(demand)) {
            return "demand=" + describe(demand) + " cap=" + describe(team.policy.cap);
        }
    }
    return std::nullopt;
}

/** Whether the cap of the job's team has room for the demand. Otherwise its work is passed over, and does not hold up what is behind it. */
bool scheduler::hasRoomForTeam(scheduled_job &job, const resources &demand)
{
    team_account &team = *job.team;
    if (team.hasRoomFor(demand)) {
        return true;
    }
    if (m_now - team.heldLoggedAt >= heldLogInterval) {
        team.heldLoggedAt = m_now;
        ++team.counters.heldByCap;
        addDecision("hold-at-cap", job.id, {},
                    "team=" + team.policy.name + " used=" + describe(team.used) + " demand=" + describe(demand) + " cap=" + describe(team.policy.cap)
                        + " configuration=" + std::to_string(m_configuration.version));
    }
    return false;
}

/** Refuses a job of a team that can never run within its cap, or that is beyond its rate while others need the room. Returns false if neither is so. */
bool scheduler::refuseForTeam(call_token token, const std::string &job, const wire::work_record &work, const queue_policy &queue, team_account &team)
{
    if (const auto fault = findCapFault(work, team)) {
        ++team.counters.refusedForCap;
        ++countersOf(queue.service).refusedJobs;
        addDecision("refuse", job, {}, "queue=" + queue.name + " team=" + team.policy.name + " reason=cap " + *fault);
        refuse(token, "a task of the job needs more than the cap of the team", m_settings.refusalDelay);
        return true;
    }
    const bool isBeyondRate = !team.allowance.isAvailable(m_now);
    const auto retryDelay = findRetryDelay(job, work, queue, team, isBeyondRate);
    if (!retryDelay) {
        return false;
    }
    ++(isBeyondRate ? team.counters.refusedBeyondRate : team.counters.refusedForWait);
    ++countersOf(queue.service).refusedJobs;
    refuse(token, isBeyondRate ? "the team has used up its rate, and there is no room beyond it" : "the job would wait too long for an executor", *retryDelay);
    return true;
}

call_access scheduler::checkAccess(const wire::work_call &call) const
{
    if (!m_configuration.hasTeams) {
        return {};
    }
    const queue_policy *queue = findQueue(call.queue);
    const std::string *team = call.__isset.keyDigest ? m_configuration.keys.findTeam(call.keyDigest) : nullptr;
    const bool needsKey = queue == nullptr || m_configuration.needsKey(*queue);
    if (needsKey && team == nullptr) {
        return {call_access::access_status::not_authenticated, {}};
    }
    call_access access{call_access::access_status::granted, needsKey ? *team : std::string()};

    const scheduled_job *job = call.kind == wire::work_call_kind::count_pending ? nullptr : findJob(call.job);
    const bool isOwn = job == nullptr || (needsKey && job->work.__isset.team && job->work.team == access.team)
        || (job->work.queue == call.queue && (!needsKey || !job->work.__isset.team));
    if (!isOwn) {
        access.status = call_access::access_status::other_team;
    }
    return access;
}

void scheduler::updateTeamCapacity()
{
    if (!m_configuration.hasTeams || m_now < m_nextTeamCapacityUpdate) {
        return;
    }
    m_nextTeamCapacityUpdate = m_now + teamCapacityInterval;
    resources capacity;
    for (const auto &[id, executor] : m_executors) {
        if (executor.isListed) {
            capacity += executor.description.capacity;
        }
    }
    m_teams.setCapacity(capacity);
}

/** Places the jobs of teams. Jobs of the same rank are tried by the share that their teams use, since that decides who gets the last room of a pool. */
void scheduler::placeByShare(const std::vector<ranked_job> &ranking, time_point now, wall_time wallNow)
{
    const auto rankOf = [](const ranked_job &ranked) {
        return std::tuple(ranked.queue->priority, ranked.job->isLongRunning, ranked.isBeyondRate, ranked.lateness);
    };
    for (std::size_t begin = 0; begin < ranking.size();) {
        std::size_t end = begin + 1;
        while (end < ranking.size() && rankOf(ranking[end]) == rankOf(ranking[begin])) {
            ++end;
        }
        if (end == begin + 1) {
            placeRanked(ranking[begin], now, wallNow);
        } else {
            placeSameRank(ranking, begin, end, now, wallNow);
        }
        begin = end;
    }
}

/** Places the jobs from begin to before end, each service on its own. */
void scheduler::placeSameRank(const std::vector<ranked_job> &ranking, std::size_t begin, std::size_t end, time_point now, wall_time wallNow)
{
    std::vector<std::pair<const std::string *, fair_order>> orders; // by service, of which there are few
    for (std::size_t item = begin; item < end; ++item) {
        const std::string &service = ranking[item].queue->service;
        auto order = std::find_if(orders.begin(), orders.end(), [&](const auto &candidate) { return *candidate.first == service; });
        if (order == orders.end()) {
            order = orders.insert(orders.end(), {&service, fair_order(m_teams)});
        }
        order->second.add(item, *ranking[item].job->team);
    }
    for (auto &[service, order] : orders) {
        while (const auto item = order.next()) {
            placeRanked(ranking[*item], now, wallNow);
        }
    }
}

std::map<std::string, team_status> scheduler::teamStatuses() const
{
    std::map<std::string, team_status> statuses;
    if (!m_configuration.hasTeams) {
        return statuses;
    }
    for (const auto &[name, account] : m_teams.accounts()) {
        if (!name.empty()) {
            statuses[name] = {account.policy, account.used, m_teams.weightedShare(account), 0, 0, 0, account.counters};
        }
    }
    for (const scheduled_job *job : m_active) {
        const auto status = job->mayHaveWaitingTasks && job->team != nullptr ? statuses.find(job->team->policy.name) : statuses.end();
        if (status == statuses.end()) {
            continue;
        }
        std::int64_t waitingTasks = 0;
        for (std::size_t occurrence = 0; occurrence < job->occurrences.size(); ++occurrence) {
            for (std::size_t step = 0; step < job->work.steps.size(); ++step) {
                const std::int64_t waiting = countReadyTasks(*job, static_cast<int>(occurrence), static_cast<int>(step));
                waitingTasks += waiting;
                status->second.waitingMillicores += waiting * reservedBy(job->work.steps[step]).cpuMillicores;
            }
        }
        status->second.waitingTasks += waitingTasks;
        status->second.waitingJobs += waitingTasks > 0 ? 1 : 0;
    }
    return statuses;
}

} // namespace parsleyglade
