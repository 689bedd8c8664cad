#pragma once

#include "executor_model.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/** Faults of a simulation, as probabilities per message and mean intervals. */
struct simulated_faults
{
    double lostOrder = 0.0; /**< An order is not delivered and gets no response. */
    double lostResponse = 0.0; /**< An order is carried out, but the response is lost. */
    double lateStart = 0.0; /**< A start order gets no response and is carried out 2 to 12 s later. */
    double lateStop = 0.0; /**< The same for a stop order. If a start and its stops are all late, their order of arrival is undefined. */
    double latePoll = 0.0; /**< The same for a poll. A late poll that reaches a new boot may acknowledge ends there, which no scheduler can detect. */
    duration crashInterval{}; /**< Mean time between crashes of an executor; zero for none. */
    duration downTime = std::chrono::seconds{3}; /**< From a crash to the next boot under the same id. */
    duration cutInterval{}; /**< Mean time between cuts of an executor, which runs on for 5.5 s without a message; zero for none. */
    duration registryInterval{}; /**< Between two readings of the registry; zero to read it in every step. */
    duration takeoverInterval{}; /**< Mean time between changes of leader; zero for none. */
    bool predecessorContinues = false; /**< A deposed leader continues until its leadership lease expires. */
    double refusedConnection = 0.0; /**< A message to an executor that is down is known not to have been sent; otherwise it gets no response. */
    double failedRun = 0.0; /**< A run fails. */
    bool mayRefuse = false; /**< The faults may leave too few executors for a submission, which is then refused and retried. */
    duration configurationDelay{}; /**< A new leader gets the configuration up to this much later. */
};

/**
 * Runs the scheduler against simulated executors, a simulated journal and deposed leaders in virtual time. Invariants are checked after
 * every step; violations() lists those that failed.
 */
class scheduling_simulation
{
public:
    scheduling_simulation(std::uint64_t seed, simulated_faults faults);
    scheduling_simulation(const scheduling_simulation &) = delete;
    scheduling_simulation &operator=(const scheduling_simulation &) = delete;

    void addExecutor(const std::string &id, resources capacity);

    /** Puts a configuration with these teams in force with the next leader. Their caps are checked as an invariant. */
    void setTeams(std::vector<team_policy> teams);

    /** Submits a job after the delay, and retries until a leader confirms it. */
    void submit(const std::string &id, const wire::work_record &work, duration delay = duration::zero());
    void cancel(const std::string &id);

    /** Runs for the given time or until no further events are possible. @param faultsEnd time from the start of the run after which no faults occur */
    void run(duration length, duration faultsEnd);

    const std::vector<std::string> &violations() const;
    work_state stateOf(const std::string &id) const;
    bool isConfirmed(const std::string &id) const;
    int startsOf(const std::string &job) const;

    /** Whether a task of the job has failed as often as the queue permits. */
    bool hasExhaustedAttempts(const std::string &job) const;

private:
    struct leader_instance
    {
        std::unique_ptr<scheduler> state;
        std::int64_t fence = 0;
        time_point leadershipEnd{};
        bool isDeposed = false;
    };

    struct event
    {
        time_point when{};
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator>(const event &other) const
        {
            return std::tie(when, number) > std::tie(other.when, other.number);
        }
    };

    struct open_call
    {
        std::string job;
        bool isCancel = false;
        std::uint64_t leader = 0;
    };

    void after(duration delay, std::function<void()> action);
    void step();

    /** Whether every job has ended and no run is left. */
    bool isSettled() const;
    void runLeader(const std::shared_ptr<leader_instance> &leader);
    void perform(const std::shared_ptr<leader_instance> &leader, scheduler_action &action);
    void takeOver();
    void runPredecessor(const std::shared_ptr<leader_instance> &predecessor);
    void crash();
    void cutOff();
    bool isReachable(const std::string &executor) const;
    void readRegistry();
    void callLeader(const std::string &job, bool isCancel);
    void checkInvariants();
    template <typename Order, typename Response>
    void deliver(const Order &order, double late, std::function<Response(executor_model &, const Order &, time_point)> carryOut,
                 std::function<void(const Response &)> done);
    bool isDrawn(double probability);
    wall_time wall() const;
    void addViolation(const std::string &text);

    void checkCap(const std::string &team, const resources &used);

    std::mt19937_64 m_random;
    simulated_faults m_faults;
    queue_configuration m_configuration;
    time_point m_now{};
    time_point m_faultsEnd{};
    time_point m_nextCrash{};
    time_point m_nextTakeover{};
    time_point m_nextCut{};
    std::map<std::string, time_point> m_cutUntil; /**< By executor. */
    time_point m_nextRegistryRead{};
    std::map<std::string, executor_description> m_registry; /**< As last read. */
    std::uint64_t m_events = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_queue;
    std::map<std::string, std::unique_ptr<executor_model>> m_executors;
    std::map<std::string, wire::work_record> m_works;
    std::map<std::string, std::string> m_journal;
    std::int64_t m_journalEnd = 0;
    std::shared_ptr<leader_instance> m_leader;
    std::uint64_t m_leaderNumber = 0;
    call_token m_nextToken = 1;
    std::map<call_token, open_call> m_calls;
    std::set<std::string> m_confirmed;
    std::map<std::string, time_point> m_cancelled; /**< When the cancellation of a job was confirmed. */
    std::set<std::pair<task_id, int>> m_startedRuns;
    std::set<std::pair<task_id, int>> m_failedRuns;
    std::map<task_id, int> m_doneRuns; /**< Tasks with an acknowledged successful end, and the run. */
    std::vector<std::string> m_violations;
};

} // namespace parsleyglade
