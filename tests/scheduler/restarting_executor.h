#pragma once

#include "manual_cluster.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace parsleyglade {

inline wire::step_record shortStep()
{
    wire::step_record step;
    step.taskCount = 1;
    step.demand.cpuMillicores = 1'000;
    step.estimateMilliseconds = 300;
    return step;
}

inline finished_entry doneEnd(std::int64_t number, const std::string &job)
{
    return {number, {job, 0, 0, 0}, 1, run_end::done, {}};
}

/** An executor "a" whose first run has ended and is recorded, so that the next poll acknowledges the end 1. The test gives all responses, and may start the
    executor again. */
struct restarting_executor
{
    explicit restarting_executor(duration age)
        : bootedAt(cluster.now - age)
    {
        executor_description description;
        description.id = "a";
        description.boot = boot;
        description.address = "a";
        description.service = "service";
        description.capacity = {8'000, 16'000, 0};
        description.clockMilliseconds = clock();
        cluster.state.updateExecutor(description, cluster.now);
        answerPoll({}, {});
        submit("first");
        answerStart(order_result::done);
        cluster.now += std::chrono::milliseconds{300};
        answerPoll({}, {doneEnd(1, "first")});
        settle();
        cluster.now += std::chrono::milliseconds{400};
    }

    std::int64_t clock() const
    {
        return 1'000 + std::chrono::duration_cast<std::chrono::milliseconds>(cluster.now - bootedAt).count();
    }

    /** Starts the executor again under its id, which the registry does not show yet. */
    void restart()
    {
        ++boot;
        bootedAt = cluster.now;
    }

    void submit(const std::string &job)
    {
        cluster.submit(job, {shortStep()});
        settle();
    }

    /** Decides and records, and keeps the orders that are sent. */
    void settle()
    {
        for (int round = 0; round < 2; ++round) {
            cluster.state.decide(cluster.now, cluster.wall());
            if (const auto batch = cluster.state.takeBatch()) {
                cluster.state.confirmBatch(batch->number, cluster.now);
            }
            takeStarts();
        }
    }

    void takeStarts()
    {
        for (scheduler_action &action : cluster.state.takeActions()) {
            if (const auto *start = std::get_if<start_order>(&action)) {
                cluster.starts.push_back(*start);
                sentAt = cluster.now;
            }
        }
    }

    /** Reports the response to the last start order after 3 ms. */
    void answerStart(order_result result)
    {
        cluster.now += std::chrono::milliseconds{3};
        cluster.state.handleStartResponse(cluster.starts.back(), {result, result == order_result::done ? clock() : 0}, sentAt, cluster.now);
    }

    poll_response list(std::vector<running_entry> running, std::vector<finished_entry> finished) const
    {
        poll_response response;
        response.result = order_result::done;
        response.boot = boot;
        response.clockMilliseconds = clock();
        response.running = std::move(running);
        response.finished = std::move(finished);
        return response;
    }

    void answerPoll(std::vector<running_entry> running, std::vector<finished_entry> finished)
    {
        REQUIRE(cluster.state.takePoll("a", cluster.now));
        cluster.state.handlePollResponse("a", list(std::move(running), std::move(finished)), cluster.now, cluster.now + std::chrono::milliseconds{2});
        cluster.now += std::chrono::milliseconds{2};
    }

    manual_cluster cluster;
    std::int64_t boot = 1;
    time_point bootedAt{};
    time_point sentAt{};
};

} // namespace parsleyglade
