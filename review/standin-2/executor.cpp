#include "executor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {

namespace {

constexpr auto workInterval = std::chrono::milliseconds{20};
constexpr int maximumWaitMilliseconds = 2'000;
constexpr auto silence = std::chrono::seconds{20};
constexpr int failureMilliseconds = 100;
constexpr std::int64_t clockAtBoot = 1'000;
constexpr std::size_t maximumListedEnds = 500;

std::int64_t millisecondsBetween(time_point from, time_point to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

/** A checkpoint as a text of 16 digits: who made it, and after how much work. */
std::string makeCheckpoint(const std::string &task, std::int64_t work)
{
    const std::string number = std::to_string(work);
    const std::string member = task.substr(task.rfind('.') + 1);
    return member + std::string(16 - std::min<std::size_t>(15, member.size() + number.size()), '0') + number;
}

} // namespace

run_register::run_register(record &log)
    : m_log(log)
{
}

void run_register::describe(const std::string &job, const task_kind &kind)
{
    const std::lock_guard lock(m_mutex);
    m_kinds[job] = kind;
}

task_kind run_register::kindOf(const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    return m_kinds[task.substr(0, task.find('.'))];
}

void run_register::addStart(const started_run &start)
{
    const std::lock_guard lock(m_mutex);
    m_starts.push_back(start);
}

std::vector<started_run> run_register::starts()
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

void run_register::addNoted(const std::string &task, int run, const std::string &how)
{
    m_log.write("noted task=" + task + " run=" + std::to_string(run) + ' ' + how);
    const std::lock_guard lock(m_mutex);
    if (how == "done") {
        m_notedAsDone.insert(task);
    }
}

std::set<std::string> run_register::notedAsDone()
{
    const std::lock_guard lock(m_mutex);
    return m_notedAsDone;
}

void run_register::join(const std::string &task, int run, const std::string &checkpoint)
{
    const std::lock_guard lock(m_mutex);
    gangOf(task, run).members[task] = checkpoint;
}

void run_register::leave(const std::string &task, int run)
{
    const std::lock_guard lock(m_mutex);
    gang_state &gang = gangOf(task, run);
    gang.members.erase(task);
    gang.isBroken = gang.isBroken || gang.hasGathered;
}

/** Whether all members of the run are present, or have been. Members that were started with different checkpoints do not come together. */
bool run_register::isComplete(const std::string &task, int run)
{
    const std::lock_guard lock(m_mutex);
    gang_state &gang = gangOf(task, run);
    const int size = m_kinds[task.substr(0, task.find('.'))].gangSize;
    std::set<std::string> checkpoints;
    for (const auto &[member, checkpoint] : gang.members) {
        checkpoints.insert(checkpoint);
    }
    gang.hasGathered = gang.hasGathered || (static_cast<int>(gang.members.size()) == size && checkpoints.size() == 1);
    return gang.hasGathered;
}

bool run_register::isBroken(const std::string &task, int run)
{
    const std::lock_guard lock(m_mutex);
    return gangOf(task, run).isBroken;
}

bool run_register::isDone(const std::string &task, int run)
{
    const std::lock_guard lock(m_mutex);
    return gangOf(task, run).isDone;
}

void run_register::finish(const std::string &task, int run)
{
    const std::lock_guard lock(m_mutex);
    gangOf(task, run).isDone = true;
}

record &run_register::log()
{
    return m_log;
}

std::string run_register::stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

run_register::gang_state &run_register::gangOf(const std::string &task, int run)
{
    return m_gangs[{stepOf(task), run}];
}

executor::executor(std::string id, run_register &runs, const executor_bounds &bounds)
    : m_id(std::move(id))
    , m_runs(runs)
    , m_bounds(bounds)
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_server([this](const http_request &request) { return answer(request); })
{
    std::thread([this] { work(); }).detach();
}

const std::string &executor::id() const
{
    return m_id;
}

const std::string &executor::address() const
{
    return m_server.address();
}

std::int64_t executor::born() const
{
    return m_born;
}

std::int64_t executor::clockMilliseconds() const
{
    return clockAtBoot + millisecondsBetween(m_bootedAt, clock::now());
}

std::size_t executor::runningCount()
{
    const std::lock_guard lock(m_mutex);
    return m_running.size();
}

std::size_t executor::runningCountOf(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    const auto isOfJob = [&job](const auto &entry) {
        return entry.first.starts_with(job + '.');
    };
    return static_cast<std::size_t>(std::count_if(m_running.begin(), m_running.end(), isOfJob));
}

bool executor::isDead() const
{
    return m_isDead;
}

void executor::kill()
{
    const std::lock_guard lock(m_mutex);
    m_isDead = true;
    m_server.setSilent(true);
    for (const auto &[task, state] : m_running) {
        m_runs.log().write("dead " + m_id + " task=" + task + " run=" + std::to_string(state.run));
        m_runs.leave(task, state.run);
    }
    m_running.clear();
    m_ended.notify_all();
}

void executor::setFailing(bool isFailing)
{
    const std::lock_guard lock(m_mutex);
    m_isFailing = isFailing;
}

void executor::crashWhenTold(std::int64_t ends, std::chrono::milliseconds downTime)
{
    const std::lock_guard lock(m_mutex);
    m_crashesAtEnd = ends;
    m_downTime = downTime;
}

int executor::restarts() const
{
    return m_restarts;
}

/** What ran is gone, and the next life knows nothing of it. Channels of the former life are silent until something is sent on them. */
void executor::crash()
{
    m_runs.log().write("crash " + m_id);
    m_server.setSilent(true);
    m_running.clear();
    std::thread([this] {
        std::this_thread::sleep_for(m_downTime);
        const std::lock_guard lock(m_mutex);
        m_finished.clear();
        m_highestEnded.clear();
        m_fence = 0;
        m_deadline = 0;
        m_lastNumber = 0;
        m_bootedAt = clock::now();
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_server.forgetChannels();
        m_server.setSilent(false);
        ++m_restarts;
        m_runs.log().write("restart " + m_id + " under the same id");
    }).detach();
}

http_response executor::answer(const http_request &request)
{
    const auto instance = request.headers.find("expect-instance");
    if (instance != request.headers.end() && instance->second != m_id) {
        return {421, nlohmann::json{{"ClockMs", clockMilliseconds()}}.dump()};
    }
    if (request.path == "/run-start") {
        return start(request.body);
    }
    if (request.path == "/run-stop") {
        return stop(request.body);
    }
    if (request.path == "/hold") {
        return hold(request.body);
    }
    return {200, nlohmann::json{{"ClockMs", clockMilliseconds()}}.dump()};
}

bool executor::acceptsFence(std::int64_t fence)
{
    m_fence = std::max(m_fence, fence);
    return fence == m_fence;
}

/** Extends the lease, which never shortens. */
void executor::extend(std::int64_t deadline)
{
    m_deadline = std::max(m_deadline, std::min(deadline, clockMilliseconds() + m_bounds.maximumHoldMilliseconds));
}

http_response executor::rejection(const std::string &reason) const
{
    return {409, nlohmann::json{{"ClockMs", clockMilliseconds()}, {"Reason", reason}}.dump()};
}

http_response executor::start(const std::string &body)
{
    const auto order = nlohmann::json::parse(body);
    const std::string task = order.at("Task");
    const int run = order.at("Run");
    const std::int64_t deadline = order.at("DeadlineMs");
    const std::string checkpoint = order.value("Checkpoint", "");
    const std::lock_guard lock(m_mutex);
    if (!acceptsFence(order.value("FencingToken", std::int64_t{0}))) {
        return rejection("fence");
    }
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.run == run) {
        extend(deadline);
        return {200, nlohmann::json{{"ClockMs", clockMilliseconds()}}.dump()};
    }
    const auto ended = m_highestEnded.find(task);
    if (running != m_running.end() || (ended != m_highestEnded.end() && run <= ended->second)) {
        extend(deadline);
        return rejection("old");
    }
    if (deadline <= clockMilliseconds()) {
        return rejection("late");
    }
    extend(deadline);
    running_task &state = m_running[task];
    state.run = run;
    state.checkpoint = checkpoint;
    state.startedAt = clockMilliseconds();
    state.kind = m_runs.kindOf(task);
    state.failsAt = m_isFailing ? clockMilliseconds() + failureMilliseconds : 0;
    if (!checkpoint.empty()) {
        state.workedMilliseconds = std::stoll(checkpoint.substr(checkpoint.find('0')));
        state.savedWork = state.workedMilliseconds;
    }
    if (state.kind.gangSize > 0) {
        m_runs.join(task, run, checkpoint);
    }
    m_runs.addStart({m_runs.log().now(), m_id, task, run, checkpoint});
    m_runs.log().write("start " + m_id + " task=" + task + " run=" + std::to_string(run) + " checkpoint=\"" + checkpoint
                       + "\" fence=" + std::to_string(m_fence));
    return {200, nlohmann::json{{"ClockMs", clockMilliseconds()}}.dump()};
}

http_response executor::stop(const std::string &body)
{
    const auto order = nlohmann::json::parse(body);
    const std::string task = order.at("Task");
    const int run = order.at("Run");
    const std::lock_guard lock(m_mutex);
    if (!acceptsFence(order.value("FencingToken", std::int64_t{0}))) {
        return rejection("fence");
    }
    m_runs.log().write("stop " + m_id + " task=" + task + " run=" + std::to_string(run));
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.run == run && running->second.stopAt == 0) {
        running->second.stopAt = clockMilliseconds() + m_bounds.stopMilliseconds;
    }
    int &highest = m_highestEnded[task];
    highest = std::max(highest, run);
    return {200, nlohmann::json{{"ClockMs", clockMilliseconds()}}.dump()};
}

http_response executor::hold(const std::string &body)
{
    const auto order = nlohmann::json::parse(body);
    std::unique_lock lock(m_mutex);
    if (!acceptsFence(order.value("FencingToken", std::int64_t{0}))) {
        return rejection("fence");
    }
    const std::int64_t lastSeen = order.value("LastSeen", std::int64_t{0});
    if (m_crashesAtEnd > 0 && lastSeen >= m_crashesAtEnd) {
        m_crashesAtEnd = 0;
        crash();
        lock.unlock();
        std::this_thread::sleep_for(silence);
        return {};
    }
    for (const ended_run &ended : m_finished) {
        if (ended.number <= lastSeen) {
            m_runs.addNoted(ended.task, ended.run, ended.how);
        }
    }
    std::erase_if(m_finished, [lastSeen](const ended_run &ended) { return ended.number <= lastSeen; });
    if (order.contains("DeadlineMs")) {
        extend(order.at("DeadlineMs"));
    }
    const int wait = std::min(order.value("WaitMs", 0), maximumWaitMilliseconds);
    m_ended.wait_for(lock, std::chrono::milliseconds(wait), [this] { return !m_finished.empty() || m_isDead; });

    nlohmann::json running = nlohmann::json::array();
    for (const auto &[task, state] : m_running) {
        const std::int64_t percent = state.kind.lasts ? 100 : std::min<std::int64_t>(99, state.workedMilliseconds * 100 / state.kind.workMilliseconds);
        running.push_back({task, state.run, state.checkpoint, percent, 0});
    }
    nlohmann::json finished = nlohmann::json::array();
    for (const ended_run &ended : m_finished) {
        if (finished.size() < maximumListedEnds) {
            finished.push_back({ended.number, ended.task, ended.run, ended.how, ended.checkpoint});
        }
    }
    return {200, nlohmann::json{{"ClockMs", clockMilliseconds()}, {"born", m_born}, {"Running", running}, {"Finished", finished}}.dump()};
}

void executor::work()
{
    std::int64_t last = clockMilliseconds();
    while (true) {
        std::this_thread::sleep_for(workInterval);
        const std::lock_guard lock(m_mutex);
        if (m_isDead) {
            return;
        }
        const std::int64_t now = clockMilliseconds();
        advance(now - last);
        last = now;
    }
}

void executor::advance(std::int64_t elapsed)
{
    std::vector<std::pair<std::string, std::string>> ends;
    const bool hasLapsed = clockMilliseconds() > m_deadline;
    for (auto &[task, state] : m_running) {
        if (hasLapsed) {
            ends.emplace_back(task, "lapsed");
        } else if (state.stopAt != 0 && clockMilliseconds() >= state.stopAt) {
            ends.emplace_back(task, "stopped");
        } else if (state.failsAt != 0 && clockMilliseconds() >= state.failsAt) {
            ends.emplace_back(task, "failed");
        } else if (state.kind.gangSize > 0 && m_runs.isDone(task, state.run)) {
            ends.emplace_back(task, "done");
        } else if (state.kind.gangSize > 0 && m_runs.isBroken(task, state.run)) {
            ends.emplace_back(task, "broken");
        } else if (state.kind.gangSize > 0 && !m_runs.isComplete(task, state.run)) {
            if (clockMilliseconds() - state.startedAt > m_bounds.gangWaitMilliseconds) {
                ends.emplace_back(task, "alone");
            }
        } else if (advanceTask(task, state, elapsed)) {
            ends.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : ends) {
        end(task, how);
    }
}

/** Returns whether the task is done. */
bool executor::advanceTask(const std::string &task, running_task &state, std::int64_t elapsed)
{
    state.workedMilliseconds += elapsed;
    if (state.kind.checkpoints && state.workedMilliseconds - state.savedWork >= m_bounds.checkpointMilliseconds) {
        state.savedWork = state.workedMilliseconds;
        state.checkpoint = makeCheckpoint(task, state.savedWork);
    }
    const bool isDone = !state.kind.lasts && state.workedMilliseconds >= state.kind.workMilliseconds;
    if (isDone && state.kind.gangSize > 0) {
        m_runs.finish(task, state.run);
    }
    return isDone;
}

void executor::end(const std::string &task, const std::string &how)
{
    const running_task state = m_running[task];
    m_running.erase(task);
    if (state.kind.gangSize > 0) {
        m_runs.leave(task, state.run);
    }
    int &highest = m_highestEnded[task];
    highest = std::max(highest, state.run);
    m_finished.push_back({++m_lastNumber, task, state.run, how, state.checkpoint});
    m_runs.log().write("end " + m_id + " task=" + task + " run=" + std::to_string(state.run) + ' ' + how + " checkpoint=\"" + state.checkpoint + '"');
    m_ended.notify_all();
}

} // namespace review
