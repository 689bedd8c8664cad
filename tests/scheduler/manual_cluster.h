#pragma once

#include "scheduler/scheduler.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** A scheduler with one service. The journal confirms at once; the test supplies the responses of the executors. */
class manual_cluster
{
public:
    /** @param teams of the configuration; none for a deployment without teams */
    explicit manual_cluster(std::vector<team_policy> teams = {}, scheduler_settings settings = {})
        : state(settings)
    {
        configuration.version = 1;
        queue_policy queue;
        queue.name = "queue";
        queue.service = "service";
        queue.maximumAttempts = 4;
        queue.stretch = 2;
        queue.targetMilliseconds = 1000;
        configuration.queues.push_back(queue);
        configuration.services.push_back({"service", false, false});
        configuration.services.push_back({"spare", false, true});
        state.lead(1, now, wall());
        setTeams(std::move(teams));
    }

    /** A cluster whose scheduler has the records of a journal and does not lead yet. */
    manual_cluster(std::vector<team_policy> teams, scheduler_settings settings, std::map<std::string, std::string> records)
        : state(settings)
        , journal(std::move(records))
    {
        configuration.teams = std::move(teams);
        for (const auto &[key, value] : journal) {
            state.restore(key, value);
        }
    }

    /** Puts a configuration with these teams in force. */
    void setTeams(std::vector<team_policy> teams)
    {
        configuration.hasTeams = !teams.empty();
        configuration.teams = std::move(teams);
        configuration.keys = key_directory(configuration.teams);
        state.setConfiguration(configuration);
        ++configuration.version;
    }

    void addExecutor(const std::string &id, resources capacity = {8'000, 16'000, 0}, const std::string &rack = {})
    {
        executor_description description;
        description.id = id;
        description.boot = 1;
        description.address = id;
        description.service = "service";
        description.capacity = capacity;
        description.rack = rack;
        description.clockMilliseconds = 1'000;
        state.updateExecutor(description, now);
        respondToPoll(id);
    }

    /** Responds to a due poll with all runs of the executor. @param progress of the runs in their order; 100 for those beyond it */
    void respondToPoll(const std::string &id, const std::vector<int> &progress = {})
    {
        if (!state.takePoll(id, now)) {
            return;
        }
        poll_response response;
        response.result = order_result::done;
        response.boot = 1;
        response.clockMilliseconds = clock();
        for (const run_key &key : state.findExecutor(id)->runs) {
            const std::size_t number = response.running.size();
            response.running.push_back({key.task, key.run, {}, number < progress.size() ? progress[number] : 100, 0});
        }
        state.handlePollResponse(id, response, now, now);
    }

    /** Ends all runs of a job on the executor well, with the response to its next poll. */
    void endRuns(const std::string &id, const std::string &job)
    {
        now = std::max(now, state.findExecutor(id)->nextPoll);
        if (!state.takePoll(id, now)) {
            return;
        }
        poll_response response;
        response.result = order_result::done;
        response.boot = 1;
        response.clockMilliseconds = clock();
        for (const run_key &key : state.findExecutor(id)->runs) {
            if (key.task.job == job) {
                response.finished.push_back({++lastEnd[id], key.task, key.run, run_end::done, {}});
            } else {
                response.running.push_back({key.task, key.run, {}, 0, 0});
            }
        }
        state.handlePollResponse(id, response, now, now);
    }

    void failPoll(const std::string &id)
    {
        if (state.takePoll(id, now)) {
            state.handlePollResponse(id, poll_response{}, now, now);
        }
    }

    void submit(const std::string &job, std::vector<wire::step_record> steps, const std::string &team = {})
    {
        wire::work_record work;
        work.queue = "queue";
        work.steps = std::move(steps);
        if (!team.empty()) {
            work.__set_team(team);
        }
        state.submit(1, job, work, wall());
    }

    /** Advances the time, then decides, records and carries out actions in three rounds. Start orders get startResult as response. */
    void settle(duration time = std::chrono::milliseconds{20})
    {
        now += time;
        for (int round = 0; round < 3; ++round) {
            state.decide(now, wall());
            if (const auto batch = state.takeBatch()) {
                for (const journal_entry &entry : batch->entries) {
                    journal[entry.key] = entry.value;
                }
                state.confirmBatch(batch->number, now);
            }
            for (scheduler_action &action : state.takeActions()) {
                if (const auto *start = std::get_if<start_order>(&action)) {
                    starts.push_back(*start);
                    state.handleStartResponse(*start, {startResult, startResult == order_result::done ? clock() : 0}, now, now);
                } else if (const auto *stop = std::get_if<stop_order>(&action)) {
                    stops.push_back(*stop);
                } else if (const auto *response = std::get_if<call_response>(&action)) {
                    replies.push_back(response->reply);
                }
            }
        }
    }

    std::int64_t clock() const
    {
        return 1'000 + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    }

    wall_time wall() const
    {
        return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()));
    }

    time_point now{std::chrono::seconds{100}};
    queue_configuration configuration;
    scheduler state;
    std::map<std::string, std::string> journal; /**< Records of settle(); a removed one is empty. */
    std::map<std::string, std::int64_t> lastEnd; /**< Number of the last end of each executor. */
    order_result startResult = order_result::done;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<wire::work_reply> replies; /**< Of settle(). */
};

/** Makes a long-running step with at most one task on an executor, of which at most one may be unavailable. */
inline wire::step_record longRunningStep(int count)
{
    wire::step_record step;
    step.taskCount = count;
    step.demand.cpuMillicores = 1'000;
    step.demand.memoryMegabytes = 100;
    step.longRunning = true;
    step.maximumPerExecutor = 1;
    step.maximumAway = 1;
    return step;
}

} // namespace parsleyglade
