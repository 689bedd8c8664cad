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

/** Which faults a run of the world has, as probabilities and mean intervals. */
struct simulated_faults
{
    double lostOrder = 0.0; /**< An order is neither carried out nor answered. */
    double lostResponse = 0.0; /**< An order is carried out and not answered. */
    double lateStart = 0.0; /**< A start gets no answer and is carried out 2 to 12 s later. */
    double lateStop = 0.0; /**< The same for a stop. A start and the stops of it, all late, can't be told apart in time. */
    double latePoll = 0.0; /**< The same for a look. A late look that reaches a new boot may make it forget ends: no scheduler can tell. */
    duration crashInterval{}; /**< Between crashes of an executor; zero for none. */
    duration takeoverInterval{}; /**< Between changes of leader; zero for none. */
    bool predecessorContinues = false; /**< A deposed leader goes on until its right ends. */
    double failedRun = 0.0;
};

/**
 * The scheduler against models of executors, journal and predecessors in virtual time. Oracles watch every step; what they find is
 * listed in violations().
 */
class scheduling_simulation
{
public:
    scheduling_simulation(std::uint64_t seed, simulated_faults faults);
    scheduling_simulation(const scheduling_simulation &) = delete;
    scheduling_simulation &operator=(const scheduling_simulation &) = delete;

    void addExecutor(const std::string &id, resources capacity);

    /** Submits a job, again until a leader confirms it. */
    void submit(const std::string &id, const wire::work_record &work);
    void cancel(const std::string &id);

    /** Runs until the time; faults happen until faultsEnd. */
    void run(duration length, duration faultsEnd);

    const std::vector<std::string> &violations() const;
    work_state stateOf(const std::string &id) const;
    bool isConfirmed(const std::string &id) const;
    int startsOf(const std::string &job) const;

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

    /** Whether every job has ended and nothing runs. */
    bool isSettled() const;
    void drive(const std::shared_ptr<leader_instance> &leader);
    void perform(const std::shared_ptr<leader_instance> &leader, scheduler_action &action);
    void takeOver();
    void drivePredecessor(const std::shared_ptr<leader_instance> &predecessor);
    void crash();
    void callLeader(const std::string &job, bool isCancel);
    void checkInvariants();
    template <typename Order, typename Answer>
    void deliver(const Order &order, double late, std::function<Answer(executor_model &, const Order &, time_point)> carryOut,
                 std::function<void(const Answer &)> done);
    bool isDrawn(double probability);
    wall_time wall() const;
    void violation(const std::string &text);

    std::mt19937_64 m_random;
    simulated_faults m_faults;
    time_point m_now{};
    time_point m_faultsEnd{};
    time_point m_nextCrash{};
    time_point m_nextTakeover{};
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
    std::map<std::string, time_point> m_cancelled; /**< When the cancellation was confirmed. */
    std::set<std::pair<task_id, int>> m_seenRuns;
    std::map<task_id, int> m_doneRuns; /**< Tasks with an acknowledged good end. */
    std::vector<std::string> m_violations;
};

} // namespace parsleyglade
