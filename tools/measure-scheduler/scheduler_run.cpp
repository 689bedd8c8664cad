#include "scheduler_run.h"

#include <ctime>

namespace parsleyglade {

namespace {

constexpr int busyQueues = 4; // a fifth service has the spare pool
constexpr double jobsPerExecutorSecond = 0.128;
constexpr int executorsPerLongRunningTask = 1;
constexpr int tasksPerLongRunningJob = 24;
constexpr int tasksPerStep = 8;
constexpr const char *teamPrefix = "team-";
constexpr double burstFactor = 4.0;
constexpr double idleFactor = 0.05;
constexpr duration burstLength = std::chrono::milliseconds{4500};
constexpr duration shortestTurn = std::chrono::milliseconds{4};
constexpr duration turnPerExecutor = std::chrono::microseconds{6};
constexpr duration journalDelay = std::chrono::milliseconds{6};
constexpr duration executorDelay = std::chrono::milliseconds{2};
constexpr std::int64_t runMilliseconds = 900;
constexpr duration setUpTime = std::chrono::milliseconds{200}; // executors answer their first poll, and the long-running tasks start
constexpr int stepsPerJob = 2;
constexpr double objectiveStretch = 1.6; // of the declared run times of a job's steps
constexpr std::int64_t objectiveMilliseconds = 600; // added to it
constexpr duration jobObjective
    = std::chrono::milliseconds{static_cast<std::int64_t>(objectiveStretch * stepsPerJob * runMilliseconds) + objectiveMilliseconds};

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
}

/** Adds the processor time of its scope to a cost. */
class cost_scope
{
public:
    cost_scope(work_cost &cost, const run_settings &settings)
        : m_cost(cost)
        , m_settings(settings)
        , m_allocations(allocations())
        , m_startedAt(processorSeconds())
    {
        ++m_cost.calls;
    }
    cost_scope(const cost_scope &) = delete;
    cost_scope &operator=(const cost_scope &) = delete;
    ~cost_scope()
    {
        m_cost.seconds += processorSeconds() - m_startedAt;
        m_cost.allocations += allocations() - m_allocations;
    }

private:
    std::uint64_t allocations() const
    {
        return m_settings.allocationCount == nullptr ? 0 : m_settings.allocationCount();
    }

    work_cost &m_cost;
    const run_settings &m_settings;
    std::uint64_t m_allocations;
    double m_startedAt;
};

/** Names a job with as many characters as the names that entry hosts give: they don't fit into a string without an allocation. */
std::string jobName(std::uint64_t number)
{
    constexpr std::size_t length = 16;
    const std::string digits = std::to_string(number);
    return std::string(length - digits.size(), '0') + digits;
}

std::string nameOf(const char *prefix, int number)
{
    return prefix + std::to_string(number);
}

/** Whether a team is another than the first, which may submit more than usual. */
bool isQuiet(const std::string &team)
{
    return !team.empty() && team != nameOf(teamPrefix, 0);
}

} // namespace

scheduler_run::scheduler_run(run_settings settings)
    : m_settings(settings)
    , m_turn((shortestTurn + turnPerExecutor * settings.executors) * settings.roundShare)
    , m_fleet(executorDelay)
    , m_random(settings.seed)
    , m_dueJobs(busyQueues, 0.0)
{
}

run_report scheduler_run::measure()
{
    setUp();
    const time_point arrivalsEnd = m_start + m_settings.length;
    for (time_point now = m_start; now < arrivalsEnd + m_settings.drain; now += m_turn) {
        if (now < arrivalsEnd) {
            submitJobs(now);
        }
        advance(now);
        if (now < m_start + setUpTime) {
            m_report.afterSetUp = m_scheduler.counters();
        }
    }
    m_report.unfinishedJobs = m_unfinishedJobs.size();
    m_report.counters = m_scheduler.counters();
    return m_report;
}

/** Delivers responses and makes one round of decisions. */
void scheduler_run::advance(time_point now)
{
    for (const start_delivery &delivery : std::exchange(m_startResponses, {})) {
        const cost_scope cost(m_report.startResponse, m_settings);
        m_scheduler.handleStartResponse(delivery.order, delivery.response, delivery.sentAt, now);
    }
    for (const poll_delivery &delivery : m_fleet.advance(now)) {
        const cost_scope cost(m_report.pollResponse, m_settings);
        m_scheduler.handlePollResponse(delivery.executor, delivery.response, delivery.sentAt, now);
    }
    {
        const cost_scope cost(m_report.decide, m_settings);
        m_scheduler.decide(now, wall(now));
    }
    exchangeBatches(now);
    carryOutActions(now);
    std::vector<poll_order> polls;
    {
        const cost_scope cost(m_report.takePolls, m_settings);
        polls = m_scheduler.takePolls(now);
    }
    m_report.polls += polls.size();
    for (const poll_order &poll : polls) {
        m_fleet.poll(poll, now);
    }
}

void scheduler_run::setUp()
{
    queue_configuration configuration;
    configuration.version = 1;
    for (int number = 0; number <= busyQueues; ++number) {
        configuration.services.push_back({nameOf("service-", number), false, number == busyQueues});
        queue_policy queue;
        queue.name = nameOf("queue-", number);
        queue.service = nameOf("service-", number);
        queue.stretch = objectiveStretch;
        queue.targetMilliseconds = objectiveMilliseconds;
        queue.maximumAttempts = 3;
        configuration.queues.push_back(queue);
    }
    configuration.hasTeams = m_settings.teams > 0;
    configuration.teams = makeTeams();
    m_scheduler.setConfiguration(configuration);
    m_scheduler.lead(1, m_start, wall(m_start));
    for (int number = 0; number < m_settings.executors; ++number) {
        executor_description description;
        description.id = nameOf("executor-", number);
        description.boot = 1;
        description.address = description.id;
        description.service = nameOf("service-", number % (busyQueues + 1));
        description.capacity = {16'000, 32'768, 0};
        description.clockMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_start.time_since_epoch()).count();
        m_scheduler.updateExecutor(description, m_start);
        m_fleet.add(description);
    }
    const int longRunningJobs = m_settings.executors / executorsPerLongRunningTask / tasksPerLongRunningJob;
    for (int number = 0; number < longRunningJobs; ++number) {
        submitJob(nameOf("queue-", number % busyQueues), true, m_start);
    }
}

double scheduler_run::arrivalRate(int queue, time_point now) const
{
    const double mean = jobsPerExecutorSecond * m_settings.loadFactor * (1.0 + extraShare()) * m_settings.executors / busyQueues;
    if (!m_settings.bursts) {
        return mean;
    }
    return mean * ((now - m_start) / burstLength % busyQueues == queue ? burstFactor : idleFactor);
}

/** Jobs that the first team submits beyond its usual ones, as a part of all usual jobs. */
double scheduler_run::extraShare() const
{
    return m_settings.teams == 0 ? 0.0 : m_settings.hotShare * (m_settings.hotFactor - 1.0);
}

std::vector<team_policy> scheduler_run::makeTeams() const
{
    std::vector<team_policy> teams;
    const double usualJobs = jobsPerExecutorSecond * m_settings.loadFactor * m_settings.executors;
    for (int number = 0; number < m_settings.teams; ++number) {
        team_policy &team = teams.emplace_back();
        team.name = nameOf(teamPrefix, number);
        const double share = number == 0 ? m_settings.hotShare : (1.0 - m_settings.hotShare) / (m_settings.teams - 1);
        team.weight = m_settings.rateHeadroom * usualJobs * share;
        team.cap.cpuMillicores = number == 0 ? m_settings.hotCapMillicores : 0;
    }
    return teams;
}

/** Draws the team of the next job; empty without teams. */
std::string scheduler_run::drawTeam()
{
    if (m_settings.teams == 0) {
        return {};
    }
    const double drawn = std::uniform_real_distribution<double>(0.0, 1.0 + extraShare())(m_random);
    if (drawn < m_settings.hotShare + extraShare() || m_settings.teams == 1) {
        return nameOf(teamPrefix, 0);
    }
    return nameOf(teamPrefix, std::uniform_int_distribution<int>(1, m_settings.teams - 1)(m_random));
}

void scheduler_run::submitJobs(time_point now)
{
    for (int queue = 0; queue < busyQueues; ++queue) {
        double &due = m_dueJobs[static_cast<std::size_t>(queue)];
        due += arrivalRate(queue, now) * toSeconds(m_turn);
        for (; due >= 1.0; due -= 1.0) {
            submitJob(nameOf("queue-", queue), false, now);
        }
    }
}

void scheduler_run::submitJob(const std::string &queue, bool isLongRunning, time_point now)
{
    wire::work_record work;
    work.queue = queue;
    if (const std::string team = isLongRunning ? std::string() : drawTeam(); !team.empty()) {
        work.__set_team(team);
    }
    wire::step_record step;
    step.taskCount = isLongRunning ? tasksPerLongRunningJob : tasksPerStep;
    step.demand.cpuMillicores = std::uniform_int_distribution<std::int64_t>(1'500, 3'000)(m_random);
    step.demand.memoryMegabytes = isLongRunning ? 6'000 : 3'000;
    step.estimateMilliseconds = runMilliseconds;
    step.longRunning = isLongRunning;
    step.maximumPerExecutor = isLongRunning ? 1 : 0;
    step.maximumAway = isLongRunning ? 3 : 0;
    work.steps.push_back(step);
    if (!isLongRunning) {
        step.after = {0};
        work.steps.push_back(step);
    }
    const std::string job = jobName(m_jobNumber++);
    if (!isLongRunning) {
        m_waitingJobs[job] = now;
        m_calls[m_jobNumber] = {job, work.team};
    }
    const cost_scope cost(m_report.submit, m_settings);
    m_scheduler.submit(m_jobNumber, job, work, wall(now));
}

void scheduler_run::exchangeBatches(time_point now)
{
    const cost_scope cost(m_report.batch, m_settings);
    if (m_unconfirmedBatch != 0 && now >= m_confirmedAt) {
        m_scheduler.confirmBatch(std::exchange(m_unconfirmedBatch, 0), now);
    }
    if (m_unconfirmedBatch != 0) {
        return;
    }
    if (const auto batch = m_scheduler.takeBatch()) {
        m_unconfirmedBatch = batch->number;
        m_confirmedAt = now + journalDelay;
        ++m_report.batches;
        for (const journal_entry &entry : batch->entries) {
            m_report.journalBytes += entry.key.size() + entry.value.size();
        }
    }
}

void scheduler_run::carryOutActions(time_point now)
{
    std::vector<scheduler_action> actions;
    {
        const cost_scope cost(m_report.actions, m_settings);
        actions = m_scheduler.takeActions();
    }
    for (const scheduler_action &action : actions) {
        if (const auto *order = std::get_if<start_order>(&action)) {
            start(*order, now);
        } else if (const auto *response = std::get_if<call_response>(&action)) {
            handleResponse(*response, now);
        } else if (const auto *entry = std::get_if<decision_entry>(&action); entry != nullptr && entry->decision == "finish") {
            handleFinish(entry->jobText(), now);
        }
    }
}

void scheduler_run::start(const start_order &order, time_point now)
{
    ++m_report.startedTasks;
    const auto waiting = m_waitingJobs.find(order.task.job);
    if (waiting != m_waitingJobs.end()) {
        m_report.startDelays.push_back(now - waiting->second);
        if (isQuiet(m_scheduler.findJob(order.task.job)->work.team)) {
            m_report.quietStartDelays.push_back(now - waiting->second);
        }
        m_waitingJobs.erase(waiting);
    }
    const bool isLongRunning = m_scheduler.findJob(order.task.job)->work.steps.front().longRunning;
    const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
    const duration runTime = isLongRunning
        ? std::chrono::duration_cast<duration>(std::chrono::hours{1})
        : std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(static_cast<double>(runMilliseconds) * factor));
    m_startResponses.push_back({order, m_fleet.start(order, runTime, now), now});
}

void scheduler_run::handleResponse(const call_response &response, time_point now)
{
    const auto call = m_calls.extract(response.token);
    if (call.empty()) {
        return; // a long-running job
    }
    if (response.reply.verdict == wire::work_verdict::done) {
        ++m_report.acceptedJobs;
        m_unfinishedJobs[call.mapped().job] = now;
    } else {
        ++m_report.refusedJobs;
        m_report.refusedQuietJobs += isQuiet(call.mapped().team) ? 1 : 0;
        m_waitingJobs.erase(call.mapped().job);
    }
}

void scheduler_run::handleFinish(const std::string &job, time_point now)
{
    const auto accepted = m_unfinishedJobs.extract(job);
    if (accepted.empty()) {
        return;
    }
    ++m_report.completedJobs;
    m_report.lateJobs += now - accepted.mapped() > jobObjective ? 1 : 0;
}

wall_time scheduler_run::wall(time_point now) const
{
    return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()));
}

} // namespace parsleyglade
