#pragma once

#include "http.h"
#include "record.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

/** What an executor needs to know of a task: a job's Spec tells it, and the members of a gang know each other. */
struct task_kind
{
    int workMilliseconds = 1000;
    int gangSize = 0; /**< 0 if the step is no gang. */
    bool lasts = false;
    bool checkpoints = false;
};

/** One start order that an executor has carried out. */
struct started_run
{
    std::int64_t atMilliseconds = 0;
    std::string executor;
    std::string task;
    int run = 0;
    std::string checkpoint;
};

/** Platform-wide knowledge that executors share: the gangs that have gathered, and all starts in order. */
class run_register
{
public:
    explicit run_register(record &log);

    /** Notes the kind of the tasks of a job before it is submitted. */
    void describe(const std::string &job, const task_kind &kind);
    task_kind kindOf(const std::string &task);

    void addStart(const started_run &start);
    std::vector<started_run> starts();

    /** Notes that the system has taken note of an end. */
    void addNoted(const std::string &task, int run, const std::string &how);

    /** Tasks of which a run has ended `done`, and the system has taken note of that. */
    std::set<std::string> notedAsDone();

    /** The members of a gang, by step and run. A member is present until it ends; the value is the checkpoint that it was started with. */
    void join(const std::string &task, int run, const std::string &checkpoint);
    void leave(const std::string &task, int run);
    bool isComplete(const std::string &task, int run);
    bool isBroken(const std::string &task, int run);
    bool isDone(const std::string &task, int run);
    void finish(const std::string &task, int run);

    record &log();

private:
    struct gang_state
    {
        std::map<std::string, std::string> members;
        bool hasGathered = false;
        bool isBroken = false;
        bool isDone = false;
    };

    static std::string stepOf(const std::string &task);
    gang_state &gangOf(const std::string &task, int run);

    record &m_log;
    std::mutex m_mutex;
    std::map<std::string, task_kind> m_kinds;
    std::map<std::pair<std::string, int>, gang_state> m_gangs;
    std::vector<started_run> m_starts;
    std::set<std::string> m_notedAsDone;
};

/** Figures of a deployment that executors go by. */
struct executor_bounds
{
    int maximumHoldMilliseconds = 10'000;
    int stopMilliseconds = 200;
    int gangWaitMilliseconds = 3'000;
    int checkpointMilliseconds = 2'000;
};

/** One life of a machine: carries out orders as the page PROTOCOL says. */
class executor
{
public:
    executor(std::string id, run_register &runs, const executor_bounds &bounds);

    const std::string &id() const;
    const std::string &address() const;
    std::int64_t born() const;
    std::int64_t clockMilliseconds() const;
    std::size_t runningCount();
    std::size_t runningCountOf(const std::string &job);
    bool isDead() const;

    /** Ends everything that runs here at once, and answers nothing any more. */
    void kill();

    /** Lets the machine lose power when it is next told of that many ends, and start again under the same id at the same address after the time given. */
    void crashWhenTold(std::int64_t ends, std::chrono::milliseconds downTime);

    /** The number of lives before the present one. */
    int restarts() const;

    /** While set, each task that is started here fails soon after, by the executor's fault. */
    void setFailing(bool isFailing);

private:
    struct running_task
    {
        int run = 0;
        std::string checkpoint; /**< The latest; at first that of the start. */
        std::int64_t startedAt = 0;
        std::int64_t workedMilliseconds = 0;
        std::int64_t savedWork = 0; /**< Work as of the latest checkpoint. */
        std::int64_t failsAt = 0; /**< When the task fails by the executor's fault; 0 for never. */
        std::int64_t stopAt = 0; /**< When the stop that is under way takes effect; 0 for none. */
        task_kind kind;
    };

    struct ended_run
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::string checkpoint;
    };

    http_response answer(const http_request &request);
    http_response start(const std::string &body);
    http_response stop(const std::string &body);
    http_response hold(const std::string &body);
    bool acceptsFence(std::int64_t fence);
    void extend(std::int64_t deadline);
    http_response rejection(const std::string &reason) const;
    void crash();
    void work();
    void advance(std::int64_t elapsed);
    bool advanceTask(const std::string &task, running_task &state, std::int64_t elapsed);
    void end(const std::string &task, const std::string &how);

    std::string m_id;
    run_register &m_runs;
    executor_bounds m_bounds;
    std::int64_t m_born = 0;
    time_point m_bootedAt = clock::now();
    std::mutex m_mutex;
    std::condition_variable m_ended;
    bool m_isDead = false;
    bool m_isFailing = false;
    std::int64_t m_crashesAtEnd = 0; /**< Crashes when told of this end; 0 for never. */
    std::chrono::milliseconds m_downTime{};
    std::atomic<int> m_restarts{0};
    std::int64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::int64_t m_lastNumber = 0;
    std::map<std::string, running_task> m_running;
    std::map<std::string, int> m_highestEnded; /**< The highest run that was stopped or has ended here, by task. */
    std::vector<ended_run> m_finished;
    http_server m_server;
};

} // namespace review
