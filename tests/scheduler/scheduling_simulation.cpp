#include "scheduling_simulation.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr duration tick = std::chrono::milliseconds{10};
constexpr duration messageDelay = std::chrono::milliseconds{2};
constexpr duration responseTimeout = std::chrono::milliseconds{1000};
constexpr duration journalDelay = std::chrono::milliseconds{6};
constexpr duration cutTime = std::chrono::milliseconds{5500};
constexpr duration settleTime = std::chrono::seconds{13}; // longer than an order can be delayed
constexpr duration callRetryDelay = std::chrono::milliseconds{500};
constexpr duration cancelTimeout = std::chrono::seconds{3};
constexpr int attempts = 4;

queue_configuration simulationConfiguration()
{
    queue_configuration configuration;
    configuration.version = 1;
    queue_policy queue;
    queue.name = "queue";
    queue.service = "service";
    queue.maximumAttempts = attempts;
    queue.stretch = 2.0;
    queue.targetMilliseconds = 1000;
    configuration.queues.push_back(queue);
    configuration.services.push_back({"service", false, false});
    return configuration;
}

scheduler_settings simulationSettings()
{
    scheduler_settings settings;
    settings.maximumLease = executor_model::maximumLease;
    return settings;
}

} // namespace

scheduling_simulation::scheduling_simulation(std::uint64_t seed, simulated_faults faults)
    : m_random(seed)
    , m_faults(faults)
    , m_configuration(simulationConfiguration())
    , m_now(std::chrono::seconds{100})
{
}

void scheduling_simulation::setTeams(std::vector<team_policy> teams)
{
    m_configuration.hasTeams = true;
    m_configuration.teams = std::move(teams);
    m_configuration.keys = key_directory(m_configuration.teams);
}

void scheduling_simulation::checkCap(const std::string &team, const resources &used)
{
    const auto policy
        = std::find_if(m_configuration.teams.begin(), m_configuration.teams.end(), [&](const team_policy &candidate) { return candidate.name == team; });
    team_account limit;
    if (policy != m_configuration.teams.end()) {
        limit.policy = *policy;
    }
    if (!limit.hasRoomFor(used)) {
        addViolation("team " + team + " exceeds its cap");
    }
}

bool scheduling_simulation::isDrawn(double probability)
{
    return m_now < m_faultsEnd && std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < probability;
}

wall_time scheduling_simulation::wall() const
{
    return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
}

void scheduling_simulation::addViolation(const std::string &text)
{
    if (m_violations.size() < 20) {
        m_violations.push_back(std::to_string(toSeconds(m_now.time_since_epoch())) + ": " + text);
    }
}

void scheduling_simulation::addExecutor(const std::string &id, resources capacity)
{
    executor_description description;
    description.id = id;
    description.boot = 1;
    description.address = id;
    description.service = "service";
    description.rack = "rack";
    description.capacity = capacity;
    const auto demand = [this](const task_id &task) {
        return reservedBy(m_works.at(task.job).steps[static_cast<std::size_t>(task.step)]);
    };
    const auto behaviour = [this](const task_id &task, int, const std::string &) {
        const auto estimate = m_works.at(task.job).steps[static_cast<std::size_t>(task.step)].estimateMilliseconds;
        const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
        const bool isLongRunning = m_works.at(task.job).steps[static_cast<std::size_t>(task.step)].longRunning;
        const duration work = isLongRunning ? std::chrono::hours{1} : duration(static_cast<std::int64_t>(static_cast<double>(estimate) * factor * 1000.0));
        return task_behaviour{work, isDrawn(m_faults.failedRun)};
    };
    const double rate = std::uniform_real_distribution<double>(0.98, 1.0)(m_random);
    m_executors[id] = std::make_unique<executor_model>(std::move(description), rate, demand, behaviour);
}

void scheduling_simulation::submit(const std::string &id, const wire::work_record &work, duration delay)
{
    m_works[id] = work;
    if (delay == duration::zero()) {
        callLeader(id, false);
    } else {
        after(delay, [this, id] { callLeader(id, false); });
    }
}

void scheduling_simulation::cancel(const std::string &id)
{
    callLeader(id, true);
}

void scheduling_simulation::callLeader(const std::string &job, bool isCancel)
{
    if (!m_leader || m_leader->state->configuration().version == 0) {
        after(callRetryDelay, [this, job, isCancel] { callLeader(job, isCancel); });
        return;
    }
    const call_token token = m_nextToken++;
    m_calls[token] = {job, isCancel, m_leaderNumber};
    if (isCancel) {
        m_leader->state->cancel(token, job, wall());
    } else {
        m_leader->state->submit(token, job, m_works[job], wall());
    }
}

void scheduling_simulation::after(duration delay, std::function<void()> action)
{
    m_queue.push({m_now + delay, m_events++, std::move(action)});
}

void scheduling_simulation::run(duration length, duration faultsEnd)
{
    const time_point end = m_now + length;
    m_faultsEnd = m_now + faultsEnd;
    const auto drawNext = [this](duration interval) {
        return interval == duration::zero() ? time_point::max() : m_now + duration(static_cast<std::int64_t>(m_random() % (2 * interval.count())));
    };
    m_nextCrash = drawNext(m_faults.crashInterval);
    m_nextTakeover = drawNext(m_faults.takeoverInterval);
    m_nextCut = drawNext(m_faults.cutInterval);
    if (!m_leader) {
        takeOver();
    }
    while (m_now < end) {
        if (m_now < m_faultsEnd && m_now >= m_nextCrash) {
            crash();
            m_nextCrash = drawNext(m_faults.crashInterval);
        }
        if (m_now < m_faultsEnd && m_now >= m_nextCut) {
            cutOff();
            m_nextCut = drawNext(m_faults.cutInterval);
        }
        if (m_now < m_faultsEnd && m_now >= m_nextTakeover) {
            takeOver();
            m_nextTakeover = drawNext(m_faults.takeoverInterval);
        }
        step();
        if (m_now >= m_faultsEnd + settleTime && isSettled()) {
            return; // no further events are possible
        }
    }
}

bool scheduling_simulation::isSettled() const
{
    const bool areEnded
        = std::all_of(m_works.begin(), m_works.end(), [this](const auto &entry) { return isConfirmed(entry.first) && isFinal(stateOf(entry.first)); });
    return areEnded && m_calls.empty()
        && std::all_of(m_executors.begin(), m_executors.end(), [](const auto &entry) { return entry.second->running().empty(); });
}

void scheduling_simulation::step()
{
    const time_point next = m_now + tick;
    while (!m_queue.empty() && m_queue.top().when <= next) {
        const event due = m_queue.top();
        m_queue.pop();
        m_now = std::max(m_now, due.when);
        due.action();
        checkInvariants();
    }
    m_now = next;
    for (auto &[id, executor] : m_executors) {
        executor->advance(m_now);
    }
    checkInvariants();
    if (m_leader) {
        runLeader(m_leader);
    }
}

void scheduling_simulation::takeOver()
{
    const std::shared_ptr<leader_instance> predecessor = m_leader;
    if (predecessor && m_faults.predecessorContinues) {
        // It continues to poll and to send orders until its leadership lease expires, but the journal rejects its batches.
        predecessor->isDeposed = true;
        after(tick, [this, predecessor] { runPredecessor(predecessor); });
    } else if (predecessor) {
        predecessor->isDeposed = true;
        predecessor->leadershipEnd = m_now;
    }

    m_leader = std::make_shared<leader_instance>();
    ++m_leaderNumber;
    m_leader->state = std::make_unique<scheduler>(simulationSettings());
    m_leader->fence = m_journalEnd++;
    m_leader->leadershipEnd = m_now + scheduler_settings{}.leadershipLease;
    for (const auto &[key, value] : m_journal) {
        if (!m_leader->state->restore(key, value)) {
            addViolation("cannot decode journal record " + key);
        }
    }
    m_leader->state->lead(m_leader->fence, m_now, wall());
    const auto delay = m_faults.configurationDelay.count();
    after(duration(delay == 0 ? 0 : static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(delay))),
          [this, leader = m_leader] { leader->state->setConfiguration(m_configuration); });

    // Callers of the previous leader retry.
    std::vector<open_call> lost;
    for (const auto &[token, call] : m_calls) {
        lost.push_back(call);
    }
    m_calls.clear();
    for (const open_call &call : lost) {
        after(callRetryDelay, [this, call] { callLeader(call.job, call.isCancel); });
    }
}

void scheduling_simulation::runPredecessor(const std::shared_ptr<leader_instance> &predecessor)
{
    if (m_now < predecessor->leadershipEnd) {
        runLeader(predecessor);
        after(tick, [this, predecessor] { runPredecessor(predecessor); });
    }
}

void scheduling_simulation::crash()
{
    auto chosen = m_executors.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_random() % m_executors.size()));
    executor_model *executor = chosen->second.get();
    executor->setUp(false, m_now);
    after(m_faults.downTime, [this, executor] { executor->setUp(true, m_now); });
}

void scheduling_simulation::cutOff()
{
    auto chosen = m_executors.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_random() % m_executors.size()));
    m_cutUntil[chosen->first] = m_now + cutTime;
}

bool scheduling_simulation::isReachable(const std::string &executor) const
{
    const auto cut = m_cutUntil.find(executor);
    return m_executors.at(executor)->isUp() && (cut == m_cutUntil.end() || m_now >= cut->second);
}

void scheduling_simulation::readRegistry()
{
    if (m_now < m_nextRegistryRead) {
        return;
    }
    m_nextRegistryRead = m_now + m_faults.registryInterval;
    for (const auto &[id, executor] : m_executors) {
        if (isReachable(id)) {
            m_registry[id] = executor->registryEntry(m_now);
        }
    }
}

void scheduling_simulation::runLeader(const std::shared_ptr<leader_instance> &leader)
{
    if (leader->state->isDeposed() || m_now >= leader->leadershipEnd) {
        return;
    }
    for (const std::string &id : leader->state->untrackedChanges(m_now)) {
        addViolation("a change of executor " + id + " is not noted");
    }
    readRegistry();
    for (const auto &[id, entry] : m_registry) {
        leader->state->updateExecutor(entry, m_now);
    }
    leader->state->decide(m_now, wall());
    if (auto batch = leader->state->takeBatch()) {
        if (!leader->isDeposed) {
            // The append takes effect after half of the delay; its response may arrive after a takeover.
            after(journalDelay / 2, [this, leader, batch = std::move(*batch)] {
                if (leader->isDeposed) {
                    return;
                }
                m_journalEnd += static_cast<std::int64_t>(batch.entries.size());
                for (const journal_entry &entry : batch.entries) {
                    if (entry.value.empty()) {
                        m_journal.erase(entry.key);
                    } else {
                        m_journal[entry.key] = entry.value;
                    }
                }
                leader->leadershipEnd = m_now + scheduler_settings{}.leadershipLease;
                after(journalDelay / 2, [this, leader, number = batch.number] { leader->state->confirmBatch(number, m_now); });
            });
        }
    } else if (!leader->isDeposed) {
        leader->leadershipEnd = m_now + scheduler_settings{}.leadershipLease;
    }
    for (scheduler_action &action : leader->state->takeActions()) {
        perform(leader, action);
    }
    for (const poll_order &order : leader->state->takePolls(m_now)) {
        deliver<poll_order, poll_response>(
            order, m_faults.latePoll, [](executor_model &executor, const poll_order &poll, time_point now) { return executor.poll(poll, now); },
            [this, leader, id = order.target.executor, sentAt = m_now](const poll_response &response) {
                leader->state->handlePollResponse(id, response, sentAt, m_now);
            });
    }
}

template <typename Order, typename Response>
void scheduling_simulation::deliver(const Order &order, double lateProbability, std::function<Response(executor_model &, const Order &, time_point)> carryOut,
                                    std::function<void(const Response &)> done)
{
    const auto execute = [this, order, carryOut]() -> std::optional<Response> {
        const auto found = m_executors.find(order.target.executor);
        if (found == m_executors.end() || !isReachable(found->first)) {
            return std::nullopt;
        }
        return carryOut(*found->second, order, m_now);
    };
    const auto isLost = isDrawn(m_faults.lostOrder);
    const auto isLate = !isLost && isDrawn(lateProbability);
    const auto isResponseLost = isLost || isLate || isDrawn(m_faults.lostResponse);
    if (isResponseLost) {
        after(responseTimeout, [done] { done(Response{}); });
    }
    if (isLost) {
        return;
    }
    const duration late = std::chrono::milliseconds{2000 + static_cast<std::int64_t>(m_random() % 10'000)};
    after(isLate ? late : messageDelay, [this, execute, done, isResponseLost, executor = order.target.executor] {
        const auto response = execute();
        if (isResponseLost) {
            return;
        }
        if (!response) {
            Response missing;
            const bool isDown = m_executors.contains(executor) && !m_executors.at(executor)->isUp();
            const bool isRefused = isDown && m_faults.refusedConnection > 0.0 && isDrawn(m_faults.refusedConnection);
            missing.result = isRefused ? order_result::unreachable : order_result::unanswered;
            after(isRefused ? messageDelay : responseTimeout, [done, missing] { done(missing); });
        } else {
            after(messageDelay, [done, result = *response] { done(result); });
        }
    });
}

void scheduling_simulation::perform(const std::shared_ptr<leader_instance> &leader, scheduler_action &action)
{
    if (const auto *start = std::get_if<start_order>(&action)) {
        const time_point sentAt = m_now;
        deliver<start_order, order_response>(
            *start, m_faults.lateStart, [](executor_model &executor, const start_order &order, time_point now) { return executor.start(order, now); },
            [this, leader, order = *start, sentAt](const order_response &response) { leader->state->handleStartResponse(order, response, sentAt, m_now); });
    } else if (const auto *stop = std::get_if<stop_order>(&action)) {
        deliver<stop_order, order_response>(
            *stop, m_faults.lateStop, [](executor_model &executor, const stop_order &order, time_point now) { return executor.stop(order, now); },
            [this, leader, order = *stop, sentAt = m_now](const order_response &response) {
                leader->state->handleStopResponse(order, response, sentAt, m_now);
            });
    } else if (const auto *response = std::get_if<call_response>(&action)) {
        const auto call = m_calls.extract(response->token);
        if (call.empty() || leader != m_leader) {
            return;
        }
        if (m_faults.mayRefuse && response->reply.verdict == wire::work_verdict::refused) {
            after(callRetryDelay, [this, job = call.mapped().job] { callLeader(job, false); });
        } else if (response->reply.verdict != wire::work_verdict::done) {
            addViolation("a call got an unexpected verdict: " + std::to_string(response->reply.verdict));
        } else if (call.mapped().isCancel) {
            m_cancelled[call.mapped().job] = m_now;
        } else {
            m_confirmed.insert(call.mapped().job);
        }
    }
}

void scheduling_simulation::checkInvariants()
{
    std::map<task_id, int> alive;
    std::map<std::string, resources> usedByTeams;
    for (const auto &[id, executor] : m_executors) {
        resources used;
        for (const model_run &run : executor->running()) {
            used += run.demand;
            usedByTeams[m_works.at(run.task.job).team] += run.demand;
            if (++alive[run.task] > 1) {
                addViolation("two runs of " + toText(run.task) + " at the same time");
            }
            if (m_startedRuns.insert({run.task, run.run}).second) {
                const auto done = m_doneRuns.find(run.task);
                if (done != m_doneRuns.end()) {
                    addViolation(toText(run.task) + " run " + std::to_string(run.run) + " started after run " + std::to_string(done->second) + " completed");
                }
                const auto cancelled = m_cancelled.find(run.task.job);
                if (cancelled != m_cancelled.end() && m_now > cancelled->second + cancelTimeout) {
                    addViolation(toText(run.task) + " started after the cancellation of its job");
                }
            }
        }
        if (!used.fitsInto(executor->description().capacity)) {
            addViolation("executor " + id + " exceeds its capacity");
        }
        for (const finished_entry &entry : executor->finished()) {
            if (entry.end == run_end::failed) {
                m_failedRuns.insert({entry.task, entry.run});
            }
        }
        for (const finished_entry &entry : executor->acknowledged()) {
            if (entry.end == run_end::done) {
                m_doneRuns.try_emplace(entry.task, entry.run);
            }
        }
    }
    for (const auto &[team, used] : usedByTeams) {
        checkCap(team, used);
    }
}

const std::vector<std::string> &scheduling_simulation::violations() const
{
    return m_violations;
}

work_state scheduling_simulation::stateOf(const std::string &id) const
{
    const scheduled_job *job = m_leader->state->findJob(id);
    return job == nullptr ? work_state::queued : job->state;
}

bool scheduling_simulation::isConfirmed(const std::string &id) const
{
    return m_confirmed.contains(id);
}

int scheduling_simulation::startsOf(const std::string &job) const
{
    return static_cast<int>(std::count_if(m_startedRuns.begin(), m_startedRuns.end(), [&](const auto &run) { return run.first.job == job; }));
}

bool scheduling_simulation::hasExhaustedAttempts(const std::string &job) const
{
    std::map<task_id, int> failures;
    for (const auto &[task, run] : m_failedRuns) {
        if (task.job == job && ++failures[task] >= attempts) {
            return true;
        }
    }
    return false;
}

} // namespace parsleyglade
