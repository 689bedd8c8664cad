#include "manual_cluster.h"
#include "scheduler/admission_control.h"
#include "scheduler/job_records.h"
#include "scheduler/run_time_ratio.h"

#include <catch2/catch.hpp>
#include <map>
#include <queue>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr int executors = 12;
constexpr int tasksPerJob = 8;
constexpr duration runTime = 500ms;
constexpr duration turn = 10ms;

/** Makes steps of one task that run one after the other. */
std::vector<wire::step_record> makeChain(int steps, std::int64_t estimateMilliseconds = 100)
{
    std::vector<wire::step_record> chain(static_cast<std::size_t>(steps));
    for (int step = 0; step < steps; ++step) {
        wire::step_record &record = chain[static_cast<std::size_t>(step)];
        record.taskCount = 1;
        record.demand.cpuMillicores = 100;
        record.estimateMilliseconds = estimateMilliseconds;
        if (step > 0) {
            record.after.push_back(step - 1);
        }
    }
    return chain;
}

/** One service whose queue gets a multiple of the work that its executors can carry. Executors end each task after its run time and report all
    running long-running tasks as available. The journal takes several turns for a batch. */
class overload_run
{
public:
    explicit overload_run(double loadFactor)
        : m_jobsPerTurn(loadFactor * executors * 8 / tasksPerJob * (toSeconds(turn) / toSeconds(runTime)))
    {
        for (int number = 0; number < executors; ++number) {
            m_cluster.addExecutor("executor-" + std::to_string(number));
        }
        wire::step_record lasting = longRunningStep(4);
        lasting.demand.cpuMillicores = 500;
        submit("lasting", {lasting});
    }

    void run(duration length)
    {
        const time_point end = m_cluster.now + length;
        while (m_cluster.now < end) {
            m_cluster.now += turn;
            for (m_due += m_jobsPerTurn; m_due >= 1.0; m_due -= 1.0) {
                wire::step_record step;
                step.taskCount = tasksPerJob;
                step.demand.cpuMillicores = 1'000;
                step.estimateMilliseconds = 500;
                submit("job-" + std::to_string(m_submitted++), {step});
            }
            advance();
        }
    }

    /** Sets how long the journal takes for each of the next batches. */
    void setBatchTime(duration time)
    {
        m_batchTime = time;
    }

    /** Submits one more job. Returns whether it is accepted. */
    bool accepts(const std::string &job, std::vector<wire::step_record> steps, int repeatCount = 0)
    {
        submit(job, std::move(steps), repeatCount);
        return m_cluster.state.findJob(job) != nullptr;
    }

    /** Lets everything that was accepted finish. */
    void drain(duration length)
    {
        m_jobsPerTurn = 0.0;
        run(length);
    }

    int accepted() const
    {
        return static_cast<int>(m_acceptedAt.size());
    }
    int submitted() const
    {
        return m_submitted;
    }
    const std::vector<duration> &completionTimes() const
    {
        return m_completionTimes;
    }
    int longRunningTasksAtWork() const
    {
        const auto &tasks = m_cluster.state.findJob("lasting")->occurrences[0].steps[0].tasks;
        return static_cast<int>(std::count_if(tasks.begin(), tasks.end(), [](const scheduled_task &task) { return !task.isWaiting(); }));
    }
    int startedAfterRefusal() const
    {
        return m_startedAfterRefusal;
    }
    const std::vector<std::int64_t> &retryDelays() const
    {
        return m_retryDelays;
    }

private:
    void submit(const std::string &job, std::vector<wire::step_record> steps, int repeatCount = 0)
    {
        wire::work_record work;
        work.queue = "queue";
        work.steps = std::move(steps);
        work.repeatCount = repeatCount;
        work.startAtMilliseconds = repeatCount > 0 ? m_cluster.wall().time_since_epoch().count() : 0;
        work.intervalMilliseconds = repeatCount > 0 ? 1'000 : 0;
        m_calls[++m_token] = job;
        m_cluster.state.submit(m_token, job, work, m_cluster.wall());
    }

    void advance()
    {
        while (!m_ends.empty() && m_ends.top().first <= m_cluster.now) {
            const start_order order = m_ends.top().second;
            m_ends.pop();
            m_finished[order.target.executor].push_back({++m_lastNumber[order.target.executor], order.task, order.run, run_end::done, {}});
        }
        for (const poll_order &poll : m_cluster.state.takePolls(m_cluster.now)) {
            respondToPoll(poll);
        }
        m_cluster.state.decide(m_cluster.now, m_cluster.wall());
        if (m_batch && m_cluster.now >= m_confirmAt) {
            m_cluster.state.confirmBatch(*std::exchange(m_batch, std::nullopt), m_cluster.now);
        }
        if (!m_batch) {
            if (const auto batch = m_cluster.state.takeBatch()) {
                m_batch = batch->number;
                m_confirmAt = m_cluster.now + m_batchTime;
            }
        }
        for (scheduler_action &action : m_cluster.state.takeActions()) {
            if (const auto *start = std::get_if<start_order>(&action)) {
                m_startedAfterRefusal += m_refused.contains(start->task.job) ? 1 : 0;
                m_cluster.state.handleStartResponse(*start, {order_result::done, m_cluster.clock()}, m_cluster.now, m_cluster.now);
                m_running[start->target.executor].push_back(*start);
                if (start->task.job != "lasting") {
                    m_ends.emplace(m_cluster.now + runTime, *start);
                }
            } else if (const auto *response = std::get_if<call_response>(&action)) {
                handleResponse(*response);
            }
        }
        std::erase_if(m_acceptedAt, [this](const auto &entry) {
            const bool isOver = m_cluster.state.findJob(entry.first)->state == work_state::completed;
            if (isOver) {
                m_completionTimes.push_back(m_cluster.now - entry.second);
            }
            return isOver;
        });
    }

    void respondToPoll(const poll_order &poll)
    {
        auto &finished = m_finished[poll.target.executor];
        auto &running = m_running[poll.target.executor];
        std::erase_if(finished, [&](const finished_entry &entry) { return entry.number <= poll.acknowledgedUpTo; });
        for (const finished_entry &entry : finished) {
            std::erase_if(running, [&](const start_order &order) { return order.task == entry.task; });
        }
        poll_response response;
        response.result = order_result::done;
        response.boot = 1;
        response.clockMilliseconds = m_cluster.clock();
        response.finished = finished;
        for (const start_order &order : running) {
            response.running.push_back({order.task, order.run, {}, 100, 0});
        }
        m_cluster.state.handlePollResponse(poll.target.executor, response, m_cluster.now, m_cluster.now);
    }

    void handleResponse(const call_response &response)
    {
        const std::string job = m_calls.at(response.token);
        if (response.reply.verdict == wire::work_verdict::refused) {
            m_refused.insert(job);
            m_retryDelays.push_back(response.reply.retryAfterMilliseconds);
            CHECK(m_cluster.state.findJob(job) == nullptr);
        } else if (job != "lasting") {
            m_acceptedAt[job] = m_cluster.now;
        }
    }

    struct later_first
    {
        bool operator()(const std::pair<time_point, start_order> &left, const std::pair<time_point, start_order> &right) const
        {
            return left.first > right.first;
        }
    };

    manual_cluster m_cluster;
    double m_jobsPerTurn;
    duration m_batchTime = 30ms;
    double m_due = 0.0;
    int m_submitted = 0;
    int m_startedAfterRefusal = 0;
    call_token m_token = 0;
    std::map<call_token, std::string> m_calls;
    std::map<std::string, time_point> m_acceptedAt; /**< Accepted jobs that are not completed. */
    std::set<std::string> m_refused;
    std::vector<duration> m_completionTimes;
    std::vector<std::int64_t> m_retryDelays;
    std::priority_queue<std::pair<time_point, start_order>, std::vector<std::pair<time_point, start_order>>, later_first> m_ends;
    std::map<std::string, std::vector<start_order>> m_running;
    std::map<std::string, std::vector<finished_entry>> m_finished;
    std::map<std::string, std::int64_t> m_lastNumber;
    std::optional<std::uint64_t> m_batch;
    time_point m_confirmAt{};
};

} // namespace

// Pattern: a queue that asks three times what its pool can carry. Guards against an unbounded backlog of jobs that end long after they are useful,
// and against losing accepted jobs or long-running tasks under the load.
TEST_CASE("three times the capacity: the backlog is bounded, nothing accepted is lost, refusals are true")
{
    overload_run load(3.0);
    load.run(10s);
    CHECK(load.longRunningTasksAtWork() == 4);
    const duration objective = 500ms * 2 + 1000ms; // stretch and target of the queue
    load.drain(objective * 3 + 500ms);

    CHECK(load.accepted() == 0); // every accepted job is completed
    CHECK_FALSE(load.retryDelays().empty());
    CHECK(load.startedAfterRefusal() == 0);
    const auto completed = static_cast<int>(load.completionTimes().size());
    CHECK(completed + static_cast<int>(load.retryDelays().size()) == load.submitted());
    CHECK(completed >= load.submitted() / 4); // the executors are kept busy: they can carry a third
}

// Pattern: the same queue within its capacity. Guards against refusals while executors have room.
TEST_CASE("nine tenths of the capacity: nothing is refused")
{
    overload_run load(0.9);
    load.run(10s);
    load.drain(3s);
    CHECK(load.retryDelays().empty());
    CHECK(static_cast<int>(load.completionTimes().size()) == load.submitted());
}

TEST_CASE("callers that are refused at the same time are told different times to return")
{
    admission_control admission;
    admission.update({{"service", {8'000.0 * 4'000.0, 8'000}}});
    CHECK(admission.expectedWait("service") == 4s);
    CHECK_FALSE(admission.findRetryDelay("service", {}, 4s, 0s, "caller"));
    CHECK_FALSE(admission.findRetryDelay("other", {}, 0s, 0s, "caller"));
    std::set<duration> delays;
    for (int caller = 0; caller < 50; ++caller) {
        const auto delay = admission.findRetryDelay("service", {}, 1s, 0s, "caller-" + std::to_string(caller));
        REQUIRE(delay);
        CHECK(*delay >= 3s);
        CHECK(*delay < 6s);
        delays.insert(*delay);
    }
    CHECK(delays.size() >= 40);
}

// Pattern: a leader whose rounds of decisions take long. Guards against accepting jobs that it can't start in time although executors are free.
TEST_CASE("an overloaded control path refuses jobs that it would delay beyond their slack")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    wire::step_record step;
    step.taskCount = 1;
    step.demand.cpuMillicores = 1'000;
    step.estimateMilliseconds = 500;
    const auto isAccepted = [&](const std::string &job) {
        cluster.submit(job, {step});
        return cluster.state.findJob(job) != nullptr;
    };
    const auto decideEvery = [&](duration interval) {
        for (int round = 0; round < 30; ++round) {
            cluster.now += interval;
            cluster.state.decide(cluster.now, cluster.wall());
        }
    };
    decideEvery(50ms);
    CHECK(isAccepted("first"));
    decideEvery(400ms);
    CHECK_FALSE(isAccepted("second"));
    decideEvery(20ms);
    CHECK(isAccepted("third"));
}

// Pattern: rounds of decisions every 10 ms, but journal batches of 400 ms, with free executors. Guards against accepting jobs whose starts wait for
// batches until their slack is gone, and against refusals that outlast the slow batches.
TEST_CASE("slow batches refuse jobs whose starts would use up their slack, although rounds are frequent")
{
    overload_run load(0.2);
    load.run(2s);
    CHECK(load.accepts("before", makeChain(4)));
    load.setBatchTime(400ms);
    load.run(3s);
    // Each start waits for its own batch and half of the one in flight, 600 ms. Four of them exceed the slack of 1.4 s.
    CHECK_FALSE(load.accepts("slack of 1.4 s, four starts", makeChain(4)));
    CHECK(load.accepts("slack of 1.4 s, one start", makeChain(1, 400)));
    CHECK(load.accepts("slack of 5 s, four starts", makeChain(4, 1'000)));
    CHECK(load.accepts("timed", makeChain(4), 1));
    load.setBatchTime(20ms);
    load.run(2s);
    CHECK(load.accepts("after", makeChain(4)));
    load.drain(5s);

    CHECK(load.accepted() == 0); // every accepted job is completed
    REQUIRE(load.retryDelays().size() == 1); // the load itself, jobs of one step with a slack of 1.5 s, is never refused
    CHECK(load.retryDelays().front() >= 500);
}

// Pattern: batches of 400 ms, and then nothing to start. Guards against a delay that only starts update and that refuses jobs for ever.
TEST_CASE("the delay of starts is forgotten when nothing is started")
{
    overload_run load(0.2);
    load.setBatchTime(400ms);
    load.run(3s);
    CHECK_FALSE(load.accepts("busy", makeChain(4)));
    load.drain(3s);
    CHECK(load.accepts("idle", makeChain(4)));
}

// Pattern: the journal confirms nothing for 2 s. Guards against accepting jobs until the late batch has been measured, and against refusals once batches are
// fast again.
TEST_CASE("a batch that is late refuses jobs whose slack it has used up")
{
    overload_run load(0.2);
    load.run(2s);
    load.setBatchTime(2s);
    load.run(1'500ms);
    CHECK_FALSE(load.accepts("slack of 1.1 s", makeChain(1)));
    CHECK(load.accepts("slack of 4 s", makeChain(1, 3'000)));
    load.setBatchTime(20ms);
    load.run(1s); // until half a second after the late batch
    CHECK(load.accepts("after", makeChain(4)));
    load.drain(8s);
    CHECK(load.accepted() == 0); // every accepted job is completed
}

// Pattern: batches of 20 ms and jobs of many steps. Guards against refusals by a calm leader.
TEST_CASE("fast batches refuse nothing")
{
    overload_run load(0.5);
    load.setBatchTime(20ms);
    for (int job = 0; job < 20; ++job) {
        load.run(100ms);
        CHECK(load.accepts("chain-" + std::to_string(job), makeChain(12, 10)));
    }
    load.drain(10s);
    CHECK(load.retryDelays().empty());
    CHECK(load.accepted() == 0); // every accepted job is completed
}

// Guards against counting the starts of a chain that is not the longest, and of steps that run beside each other.
TEST_CASE("the starts in sequence are those of the longest chain")
{
    wire::work_record work;
    work.steps = makeChain(3, 10);
    CHECK(countStartsInSequence(work) == 3);
    wire::step_record lone = work.steps.front();
    lone.estimateMilliseconds = 30;
    work.steps.push_back(lone);
    CHECK(countStartsInSequence(work) == 3);
    work.steps.back().estimateMilliseconds = 31;
    CHECK(countStartsInSequence(work) == 1);
}

// Guards against demand that is off by the factor by which all declared run times of a queue are off.
TEST_CASE("the ratio of measured to declared run times is learned and bounded")
{
    run_time_ratio ratio;
    ratio.add(1'000, 3'000);
    CHECK(ratio.value() == 1.0);
    for (int run = 0; run < 100; ++run) {
        ratio.add(1'000, 500);
    }
    CHECK(ratio.value() == Approx(0.5).margin(0.1));
    for (int run = 0; run < 2'000; ++run) {
        ratio.add(1'000, 100'000);
    }
    CHECK(ratio.value() == Approx(4.0));
}
