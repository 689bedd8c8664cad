#include "manual_cluster.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <rapidcheck/catch.h>
#include <set>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr duration pollTimeout = std::chrono::milliseconds{700};
constexpr duration removalTime = std::chrono::milliseconds{4500}; // from the silence of an executor to the removal of its registry entry

/** A long-running job under leaders that resign one after the other. Executors answer polls and starts unless they are silent. */
struct handover_chain
{
    handover_chain()
    {
        for (const char *id : {"a", "b", "c", "d"}) {
            executor_description &description = executors[id];
            description.id = id;
            description.boot = 1;
            description.address = id;
            description.service = "service";
            description.capacity = {8'000, 16'000, 0};
        }
    }

    /** Runs a leader, which is restored from the journal, for the given time. */
    void runLeader(duration time, bool resigns = true)
    {
        scheduler leader{scheduler_settings{}};
        unanswered.clear();
        for (const auto &[key, value] : journal) {
            REQUIRE(leader.restore(key, value));
        }
        leader.lead(++fence, clock.now, clock.wall(), hasResigned);
        leader.setConfiguration(clock.state.configuration());
        if (fence == 1) {
            wire::work_record work;
            work.queue = "queue";
            work.steps = {longRunningStep(2)};
            leader.submit(1, "job", work, clock.wall());
        }
        for (const time_point end = clock.now + time; clock.now < end; clock.now += 20ms) {
            step(leader);
        }
        hasResigned = resigns;
        if (resigns) {
            leader.resign(clock.now);
            record(leader);
        }
    }

    /** Lets an executor answer nothing any more, as if it were cut off and running on. */
    void silence(const std::string &id)
    {
        silent.insert(id);
        silentFrom.try_emplace(id, clock.now);
    }

    void step(scheduler &leader)
    {
        for (auto &[id, description] : executors) {
            description.clockMilliseconds = clock.clock();
            if (!silent.contains(id)) {
                leader.updateExecutor(description, clock.now);
            } else if (clock.now >= silentFrom[id] + removalTime) {
                leader.removeExecutor(id);
            }
        }
        leader.confirmRegistry();
        leader.decide(clock.now, clock.wall());
        record(leader);
        for (scheduler_action &action : leader.takeActions()) {
            if (const auto *start = std::get_if<start_order>(&action)) {
                const bool isSilent = silent.contains(start->target.executor);
                if (!isSilent) {
                    running[start->target.executor].push_back({start->task, start->run, {}, 100, 0});
                    startedAt[{start->task, start->run}] = clock.now;
                }
                leader.handleStartResponse(*start, {isSilent ? order_result::unanswered : order_result::done, isSilent ? 0 : clock.clock()}, clock.now,
                                           clock.now);
            }
        }
        std::erase_if(unanswered, [&](const unanswered_poll &poll) {
            const bool hasTimedOut = clock.now >= poll.sentAt + pollTimeout;
            if (hasTimedOut) {
                leader.handlePollResponse(poll.executor, poll_response{}, poll.sentAt, clock.now);
            }
            return hasTimedOut;
        });
        for (const poll_order &poll : leader.takePolls(clock.now)) {
            poll_response response;
            if (silent.contains(poll.target.executor)) {
                unanswered.push_back({poll.target.executor, clock.now});
                continue;
            }
            response.result = order_result::done;
            response.boot = 1;
            response.clockMilliseconds = clock.clock();
            response.running = running[poll.target.executor];
            lastGrant[poll.target.executor] = clock.now;
            leader.handlePollResponse(poll.target.executor, response, clock.now, clock.now);
        }
    }

    struct unanswered_poll
    {
        std::string executor;
        time_point sentAt{};
    };

    void record(scheduler &leader)
    {
        if (const auto batch = leader.takeBatch()) {
            for (const journal_entry &entry : batch->entries) {
                journal[entry.key] = entry.value;
            }
            leader.confirmBatch(batch->number, clock.now);
        }
    }

    manual_cluster clock;
    std::map<std::string, executor_description> executors;
    std::set<std::string> silent;
    std::map<std::string, time_point> silentFrom;
    std::vector<unanswered_poll> unanswered; /**< Polls of the current leader to silent executors. */
    std::map<std::string, std::vector<running_entry>> running;
    std::map<std::string, time_point> lastGrant;
    std::map<run_key, time_point> startedAt;
    std::map<std::string, std::string> journal;
    std::int64_t fence = 0;
    bool hasResigned = false;
};

constexpr duration term = std::chrono::milliseconds{1500}; // shorter than a lease

} // namespace

// Guards against tasks that start nowhere while leaders change: each takeover counted a new lease for a run on an executor that had been silent since long
// before, so that the run was given up only after the last change (review case 3).
TEST_CASE("a lost run is given up one lease after the executor was last heard of, however often leaders resign")
{
    handover_chain chain;
    chain.runLeader(term);
    REQUIRE(chain.startedAt.size() == 2);
    const std::string lost = chain.running.begin()->first;
    const task_id task = chain.running.begin()->second.front().task;
    chain.silence(lost);
    const time_point lastHeard = chain.clock.now;
    for (int leader = 0; leader < 8; ++leader) {
        chain.runLeader(term);
    }
    const auto second = chain.startedAt.find({task, 2});
    REQUIRE(second != chain.startedAt.end());
    const duration longestLease = std::chrono::milliseconds{3'400};
    CHECK(second->second >= chain.lastGrant[lost] + scheduler_settings{}.lease);
    CHECK(second->second < lastHeard + term + longestLease + 400ms); // the first successor may still count a lease of its predecessor
}

// Guards against two runs of a task at the same time: what a leader that resigned has recorded about a lost executor does not hold after a later leader has
// granted it a lease.
TEST_CASE("the recorded end of a lease does not hold once the executor has answered a later leader")
{
    handover_chain chain;
    chain.runLeader(term);
    const std::string lost = chain.running.begin()->first;
    const task_id task = chain.running.begin()->second.front().task;
    chain.silence(lost);
    chain.runLeader(term);
    chain.silent.clear();
    chain.silentFrom.clear();
    const bool resigns = GENERATE(true, false);
    chain.runLeader(term, resigns);
    chain.silence(lost);
    for (int leader = 0; leader < 8; ++leader) {
        chain.runLeader(term);
    }
    const auto second = chain.startedAt.find({task, 2});
    REQUIRE(second != chain.startedAt.end());
    CHECK(second->second >= chain.lastGrant[lost] + scheduler_settings{}.lease);
}

// Guards against tasks that start nowhere after executors are lost for good, and against starts beside a lease that is still held. Executors are lost in any
// order with changes of leader, also while start orders are on their way to them.
TEST_CASE("tasks of lost executors start elsewhere in time, and not before their leases are over, in any order of losses and resignations", "[scheduler]")
{
    rc::prop("seeds", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const auto drawMilliseconds = [&random](std::int64_t from, std::int64_t to) {
            return std::chrono::milliseconds{from + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(to - from))};
        };
        handover_chain chain;
        chain.runLeader(1s);
        const std::vector<std::string> ids{"a", "b", "c", "d"};
        const std::string first = ids[random() % ids.size()];
        chain.silence(first);
        chain.runLeader(drawMilliseconds(2'500, 4'000)); // about when the tasks of the first one start elsewhere
        const std::string second = ids[random() % ids.size()];
        chain.silence(second);
        const time_point lastLoss = chain.clock.now;
        while (chain.clock.now < lastLoss + 11s) {
            chain.runLeader(drawMilliseconds(300, 3'000));
        }

        std::map<task_id, std::vector<std::pair<std::string, int>>> runs;
        for (const auto &[executor, entries] : chain.running) {
            for (const running_entry &entry : entries) {
                runs[entry.task].emplace_back(executor, entry.run);
            }
        }
        REQUIRE(runs.size() == 2);
        for (const auto &[task, starts] : runs) {
            const bool runsOnLiveExecutor
                = std::any_of(starts.begin(), starts.end(), [&chain](const auto &start) { return !chain.silent.contains(start.first); });
            REQUIRE(runsOnLiveExecutor);
            for (const auto &[executor, run] : starts) {
                const auto next = std::find_if(starts.begin(), starts.end(), [number = run](const auto &start) { return start.second > number; });
                if (next != starts.end()) {
                    REQUIRE(chain.startedAt.at({task, next->second}) >= chain.lastGrant[executor] + scheduler_settings{}.lease);
                }
            }
        }
    });
}
