#include "control/load_reporter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr int jobs = 6'000;

/** A leader with one executor whose every run ends at once, so that a single second has more decisions than the log has lines for. */
class flooded_leader
{
public:
    flooded_leader()
    {
        queue_configuration configuration;
        configuration.version = 1;
        queue_policy queue;
        queue.name = "queue";
        queue.service = "service";
        queue.maximumAttempts = 4;
        queue.stretch = 2;
        queue.targetMilliseconds = 1000;
        configuration.queues.push_back(queue);
        configuration.services.push_back({"service", false, false});
        m_state.setConfiguration(configuration);
        m_state.lead(1, m_now, wall());

        executor_description executor;
        executor.id = "executor";
        executor.boot = 1;
        executor.address = executor.id;
        executor.service = "service";
        executor.capacity = {16'000, 32'000, 0};
        executor.clockMilliseconds = 1'000;
        m_state.updateExecutor(executor, m_now);
        respondToPoll({});
    }

    void startAndEnd(int number)
    {
        wire::work_record work;
        work.queue = "queue";
        work.steps.emplace_back();
        work.steps.back().taskCount = 1;
        work.steps.back().demand.cpuMillicores = 1'000;
        work.steps.back().estimateMilliseconds = 100;
        m_state.submit(1, "job-" + std::to_string(number), work, wall());
        m_now += 100us;
        m_state.decide(m_now, wall());
        confirm();
        std::vector<finished_entry> ends;
        for (const scheduler_action &action : m_state.takeActions()) {
            if (const auto *start = std::get_if<start_order>(&action)) {
                m_state.handleStartResponse(*start, {order_result::done, clock()}, m_now, m_now);
                ends.push_back({++m_lastEnd, start->task, start->run, run_end::done, {}});
            }
        }
        m_now += 200ms; // polls of an executor keep a distance
        respondToPoll(ends);
        confirm();
    }

    const scheduler &state() const
    {
        return m_state;
    }
    time_point now() const
    {
        return m_now;
    }

private:
    void confirm()
    {
        if (const auto batch = m_state.takeBatch()) {
            m_state.confirmBatch(batch->number, m_now);
        }
    }

    void respondToPoll(const std::vector<finished_entry> &ends)
    {
        if (m_state.takePoll("executor", m_now)) {
            poll_response response;
            response.result = order_result::done;
            response.boot = 1;
            response.clockMilliseconds = clock();
            response.finished = ends;
            m_state.handlePollResponse("executor", response, m_now, m_now);
        }
    }

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count();
    }
    wall_time wall() const
    {
        return wall_time(std::chrono::milliseconds(clock()));
    }

    time_point m_now{100s};
    scheduler m_state{scheduler_settings{}};
    std::int64_t m_lastEnd = 0;
};

double valueOf(const std::vector<metric> &metrics, const std::string &name, const std::map<std::string, std::string> &labels)
{
    const auto found = std::find_if(metrics.begin(), metrics.end(), [&](const metric &each) { return each.name == name; });
    REQUIRE(found != metrics.end());
    for (const metric_sample &sample : found->samples) {
        if (sample.labels == labels) {
            const auto *counter = std::get_if<counter_value>(&sample.value);
            return counter != nullptr ? counter->value : std::get<gauge_value>(sample.value).value;
        }
    }
    return -1;
}

} // namespace

// Guards against rates that are read from log lines, which the bounded log leaves out just when the leader is overloaded.
TEST_CASE("starts, ends and accepted jobs are counted exactly, however many log lines are dropped")
{
    flooded_leader leader;
    for (int number = 0; number < jobs; ++number) {
        leader.startAndEnd(number);
    }
    const leader_load load;
    const std::vector<metric> metrics = load_reporter(leader.state(), load).collect(leader.now());
    CHECK(valueOf(metrics, "parsleyglade_service_runs_total", {{"service", "service"}, {"event", "start"}}) == jobs);
    CHECK(valueOf(metrics, "parsleyglade_service_runs_total", {{"service", "service"}, {"event", "done"}}) == jobs);
    CHECK(valueOf(metrics, "parsleyglade_service_jobs_total", {{"service", "service"}, {"event", "accepted"}}) == jobs);
    CHECK(valueOf(metrics, "parsleyglade_service_jobs_total", {{"service", "service"}, {"event", "started"}}) == jobs);
    CHECK(valueOf(metrics, "parsleyglade_service_waiting_tasks", {{"service", "service"}}) == 0);
    CHECK(valueOf(metrics, "parsleyglade_service_free_millicores", {{"service", "service"}}) == 16'000);
}

// Guards against parts of the leader's work whose processor time is not measured.
TEST_CASE("the processor time of a part is summed over its scopes")
{
    leader_load load;
    for (int round = 0; round < 3; ++round) {
        const leader_load::scope scope(load, leader_part::decisions);
        const auto startedAt = processorTime();
        while (processorTime() - startedAt < 2ms) { }
    }
    CHECK(load.part(leader_part::decisions).count == 3);
    CHECK(load.part(leader_part::decisions).processorTime >= 6ms);
    CHECK(load.part(leader_part::polls).count == 0);
    load.addLoopDelay(5ms);
    load.addLoopDelay(7ms);
    CHECK(load.loopDelay() == 12ms);
}
