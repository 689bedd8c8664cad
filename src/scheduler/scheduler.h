#pragma once

#include "core/time_types.h"
#include "scheduler/arrival_window.h"
#include "scheduler/executor_state.h"
#include "scheduler/queue_configuration.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduler_action.h"
#include "scheduler/scheduler_settings.h"
#include "scheduler/service_demand.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleyglade {

/**
 * Decides for the leader which tasks run where, and holds the state of all jobs. It takes calls, answers of executors and confirmations
 * of the journal with the time as input and returns batches for the journal and actions; it has no sockets, clocks or logs.
 *
 * A run is recorded before it is ordered, an end is recorded before its executor may forget it, and a caller is answered when what the
 * answer says is recorded. @see docs/scheduler.md
 */
class scheduler
{
public:
    explicit scheduler(scheduler_settings settings);
    scheduler(const scheduler &) = delete;
    scheduler &operator=(const scheduler &) = delete;

    /** Keys of the journal's records. */
    static std::string workKey(const std::string &job);
    static std::string progressKey(const std::string &job);

    // ---- recovery ----

    /** Takes one record of the journal, in any order of keys. Unknown keys are ignored. Returns false when the value can't be decoded. */
    bool restore(const std::string &key, const std::string &value);

    /** Begins to lead with the fencing token. Everything was restored before.
        @param hasResigned whether the earlier leader has given up its right for certain */
    void lead(std::int64_t fence, time_point now, wall_time wallNow, bool hasResigned = false);

    // ---- inputs ----

    void setConfiguration(queue_configuration configuration);
    const queue_configuration &configuration() const;

    /** The registry's entry of an executor is new or has changed. */
    void updateExecutor(const executor_description &description, time_point now);

    /** The registry has no entry of the executor any more. */
    void removeExecutor(const std::string &id);

    /** A caller's call. The answer follows as an action, or has been added at once. */
    void submit(call_token token, const std::string &job, wire::work_record work, wall_time now);
    void query(call_token token, const std::string &job);
    void cancel(call_token token, const std::string &job, wall_time now);
    void countPending(call_token token, const std::string &queue);

    /** Answers to orders; since is when the order was sent. */
    void handleStartResponse(const start_order &order, const order_response &response, time_point since, time_point now);
    void handleStopResponse(const stop_order &order, const order_response &response, time_point now);
    void handlePollResponse(const std::string &executor, const poll_response &response, time_point since, time_point now);

    // ---- decisions ----

    /** Lets time pass: lapsed leases, repeated orders, placement. */
    void decide(time_point now, wall_time wallNow);

    /** The next look at an executor, when one is due; the executor then counts as being looked at until handlePollResponse(). */
    std::optional<poll_order> takePoll(const std::string &executor, time_point now);

    /** All looks that are due; see takePoll(). */
    std::vector<poll_order> takePolls(time_point now);

    /** What is to be recorded next, up to about maximumBatchBytes; nothing while a batch is under way or when nothing has changed. */
    std::optional<journal_batch> takeBatch();

    /** Begins the end of this leader, which gives no order any more: the batches from now on tell its successor how old the orders are
        that have no answer. */
    void resign(time_point now);

    /** The journal has the batch. */
    void confirmBatch(std::uint64_t number, time_point now);

    /** What is to be done, in order. */
    std::vector<scheduler_action> takeActions();

    // ---- hosts ----

    /** Gives the executor no new work and ends what runs there as soon as that does no harm. */
    void setEvacuating(const std::string &executor, bool isEvacuating);

    /** Whether nothing runs on the executor, for certain. */
    bool isEmpty(const std::string &executor) const;

    /** What each service's jobs ask of its pool. Services without any have no entry. */
    std::map<std::string, service_demand> demands(time_point now);

    /** Records an order for a host; returns the number of the batch that has it. */
    std::uint64_t recordHost(wire::host_record record);

    /** Records of orders for hosts, as restored and written since. */
    std::vector<wire::host_record> hostRecords() const;

    /** Hosts to which an earlier leader may have given an order shortly before. Meant for the time right after lead(). */
    std::set<std::string> recentlyOrderedHosts() const;

    /** Number of the last batch that the journal confirmed. */
    std::uint64_t confirmedBatch() const;

    /** Adds a decision about a host to the log. */
    void addHostDecision(std::string decision, const std::string &host, std::string inputs);

    /** Whether an executor has refused an order because it has seen a higher fencing token. */
    bool isDeposed() const;

    std::size_t jobCount() const;
    const scheduled_job *findJob(const std::string &id) const;
    const executor_state *findExecutor(const std::string &id) const;

private:
    /** How an executor's runs were lost. */
    enum class run_loss {
        lapsed, /**< The lease is over; orders under way are late then, unless a new boot begins its clock anew. */
        rebooted, /**< A new boot under the same name, which takes orders for the old one. */
        replaced, /**< Another executor answers at the address, which takes no orders for this one. */
    };

    struct waiting_reply
    {
        call_token token = 0;
        std::string job;
        wire::work_reply reply;
    };

    struct ranked_job
    {
        scheduled_job *job = nullptr;
        const queue_policy *queue = nullptr;
        bool isLongRunning = false; /**< Has tasks that run until the job is cancelled. */
        int lateness = 0; /**< 0 on time, 1 late, 2 too late to be of use. */
        std::int64_t dueMilliseconds = 0;
    };

    /** Executors of a service that take work, and the smallest unconstrained demand that found no room in this round. */
    struct service_candidates
    {
        std::vector<executor_state *> executors;
        std::optional<resources> unplaceable;
    };

    scheduled_job *findMutableJob(const std::string &id);
    scheduled_task *findTask(const task_id &which);
    scheduled_run *findRun(const run_key &key);
    const queue_policy *findQueue(const std::string &queue) const;
    const queue_policy *queueOf(const scheduled_job &job) const;
    void respond(call_token token, wire::work_verdict::type verdict, std::string reason = {});
    void respondWithState(call_token token, const scheduled_job &job);
    void respondWhenRecorded(call_token token, const scheduled_job &job);
    void addDecision(std::string decision, const std::string &job, std::string task = {}, std::string executor = {}, std::string inputs = {});
    void markChanged(scheduled_job &job);
    void finish(scheduled_job &job, work_state state, wall_time now);

    // runs
    void attachRun(executor_state &executor, const scheduled_job &job, const run_key &key);
    void releaseRun(const run_key &key);
    void endRun(executor_state &executor, const finished_entry &entry, time_point now);
    void applyEnd(scheduled_job &job, const task_id &which, scheduled_task &task, const finished_entry &entry, executor_state &executor, time_point now);
    void stopStalledRuns(executor_state &executor, time_point now);
    void countFailure(executor_state &executor, const std::string &job, time_point now);
    void confirmRun(scheduled_job &job, const task_id &which, scheduled_run &run);
    void stopRun(scheduled_run &run, time_point now);
    void stopAllRuns(scheduled_job &job, time_point now);
    void sendStart(const run_key &key, scheduled_run &run, time_point now);
    void sendStop(const run_key &key, scheduled_run &run, time_point now);
    void handleNewBoot(executor_state &executor, std::int64_t boot, time_point now);
    void handleLostRuns(executor_state &executor, run_loss loss, time_point now);
    void delayTask(const run_key &key, time_point until);
    void blockLateStarts(executor_state &executor, time_point now);
    bool mayStillStart(const scheduled_run &run, run_loss loss, time_point now) const;
    void repeatOrders(executor_state &executor, time_point now);
    void reconcile(executor_state &executor, const poll_response &response, time_point since, time_point now);
    void reconcileMissing(executor_state &executor, const run_key &key, scheduled_run &run, time_point since, time_point now);
    void reconcileRunning(executor_state &executor, const running_entry &entry, time_point since, time_point now);
    void handleRejectedStart(const start_order &order, scheduled_run &run, const order_response &response, time_point now);
    void updateClock(executor_state &executor, std::int64_t clockMilliseconds, time_point now) const;
    std::int64_t grantLease(executor_state &executor, time_point now) const;
    order_target targetOf(const executor_state &executor) const;
    std::optional<poll_order> makePoll(executor_state &executor, time_point now);
    void checkExecutor(executor_state &executor, time_point now);
    void dropIdleExecutors();
    void forgetOldJobs(wall_time wallNow);

    // evacuation
    void evacuate(executor_state &executor, time_point now);
    bool isAvailable(const scheduled_task &task) const;
    bool isDisruptionAllowed(scheduled_job &job, const task_id &which);
    bool hasAlternativeExecutor(scheduled_job &job, const task_id &which, const executor_state &from, time_point now);

    // placement
    void place(time_point now, wall_time wallNow);
    std::vector<ranked_job> rankJobs(wall_time wallNow) const;
    void addDemand(service_demand &demand, const scheduled_job &job) const;
    void placeJob(const ranked_job &ranked, time_point now, wall_time wallNow);
    void placeStep(scheduled_job &job, service_candidates &candidates, int occurrence, int step, time_point now);
    void placeGang(scheduled_job &job, service_candidates &candidates, int occurrence, int step, time_point now);
    executor_state *chooseExecutor(scheduled_job &job, service_candidates &candidates, const task_id &which);
    bool canTake(const executor_state &executor, const wire::step_record &step, const task_id &which) const;
    std::int64_t placementCost(scheduled_job &job, const task_id &which, const executor_state &executor);
    int countServing(const executor_state &executor);
    bool hasLongRunningTask(const executor_state &executor);
    void planRun(scheduled_job &job, const task_id &which, executor_state &executor, int run, time_point now);
    bool isStepReady(const scheduled_job &job, int occurrence, int step, wall_time wallNow) const;
    void paceFillers(executor_state &executor, time_point now);

    scheduler_settings m_settings;
    queue_configuration m_configuration;
    std::unordered_map<std::string_view, const queue_policy *> m_queues; /**< Of the configuration, by name. */
    std::unordered_map<std::string, std::unique_ptr<scheduled_job>> m_jobs;
    std::map<std::string, wire::progress_record> m_orphanProgress; /**< Read before the job itself, during recovery. */
    std::vector<scheduled_job *> m_active; /**< Jobs that are not final. */
    std::vector<scheduled_job *> m_changed;
    std::map<std::string, executor_state> m_executors;
    std::vector<scheduler_action> m_actions;
    std::vector<waiting_reply> m_replies; /**< Wait for the next batch. */
    std::vector<waiting_reply> m_recordingReplies; /**< Wait for the batch under way. */
    std::vector<run_key> m_planned;
    std::vector<run_key> m_recording;
    std::vector<std::pair<std::string, std::int64_t>> m_recordingEnds; /**< Executors and the ends that the batch under way has. */
    std::vector<std::string> m_forgotten; /**< Jobs whose records are to be removed. */
    std::map<std::string, service_candidates> m_candidates; /**< By service, during one round of placement. */
    std::map<std::string, arrival_window> m_arrivals; /**< By service, in millicore-milliseconds. */
    time_point m_now{};
    std::optional<time_point> m_resigned;
    std::map<std::string, std::string> m_hostRecords;
    std::vector<std::string> m_changedHostRecords;
    std::uint64_t m_batch = 0;
    std::uint64_t m_confirmedBatch = 0;
    bool m_recordingBatch = false;
    bool m_isDeposed = false;
    std::int64_t m_fence = 0;
    wall_time m_wallNow{};
    time_point m_evacuateFrom{}; /**< Until then an earlier leader's stops may be under way, which the executors still list as running. */
};

/** ID.K.STEP.INDEX of a task, for logs. */
std::string toText(const task_id &task);

} // namespace parsleyglade
