#include "decision_timing.h"

#include "deployment.h"
#include "policy_choice.h"
#include "run_result.h"

#include <chrono>
#include <random>

namespace parsleyglade {

namespace {

constexpr std::size_t decisionsPerDeployment = 200'000;
constexpr std::uint32_t reportingPeers = 6;

/** Returns the endpoints of all pools as one entry host may see them, with a load close to their limits. */
std::vector<std::vector<endpoint_view>> makeViews(const deployment &model, std::mt19937_64 &random, time_point now)
{
    std::vector<std::vector<endpoint_view>> pools;
    for (const pool_model &pool : model.pools) {
        std::vector<endpoint_view> views;
        for (std::size_t index = 0; index < pool.endpointCount(); ++index) {
            endpoint_view &view = views.emplace_back("host-" + std::to_string(index), endpoint_limits{});
            view.probeSucceeded(now);
            for (std::uint32_t peer = 0; peer < reportingPeers; ++peer) {
                const auto inFlight = static_cast<std::uint32_t>(random() % 3);
                view.setPeerLoad({incarnation_id{peer}, inFlight, inFlight / 2, now - duration{random() % 2'000'000}});
            }
        }
        pools.push_back(std::move(views));
    }

    return pools;
}

template <typename Decision> decision_timing timeDecision(const deployment &model, std::string name, Decision decide)
{
    std::vector<double> microseconds;
    microseconds.reserve(decisionsPerDeployment);
    for (std::size_t index = 0; index < decisionsPerDeployment; ++index) {
        const auto before = std::chrono::steady_clock::now();
        decide(index);
        const auto after = std::chrono::steady_clock::now();
        microseconds.push_back(std::chrono::duration<double, std::micro>(after - before).count());
    }

    return {model.name, model.endpointCount(), model.pools.size(), std::move(name), quantile(microseconds, 0.5), quantile(microseconds, 0.99)};
}

decision_timing timePlacement(const deployment &model, std::mt19937_64 &random)
{
    const time_point now{std::chrono::seconds{100}};
    auto pools = makeViews(model, random, now);
    const policy_choice defaults = policyChoices().front();
    placement_policy policy = defaults.policy;
    const placement_request request{job_class::short_job, duration::zero(), {std::chrono::milliseconds{200}, std::chrono::seconds{10}}};
    std::vector<std::pair<std::size_t, std::size_t>> placed;
    return timeDecision(model, "placement", [&](std::size_t index) {
        const std::size_t pool = random() % pools.size();
        const auto selected = selectEndpoint(policy, pools[pool], request, now, random);
        if (selected) {
            pools[pool][*selected].jobStarted(job_class::short_job);
            placed.emplace_back(pool, *selected);
        }
        if (index % 4 != 0 && !placed.empty()) {
            std::swap(placed[random() % placed.size()], placed.back());
            pools[placed.back().first][placed.back().second].jobEnded(job_class::short_job);
            placed.pop_back();
        }
    });
}

decision_timing timeQueue(const deployment &model, std::mt19937_64 &random, bool isFull)
{
    constexpr std::uint64_t callers = 120;
    const time_point now{std::chrono::seconds{100}};
    std::vector<admission_queue> queues(model.pools.size());
    std::uint64_t id = 0;
    const auto job = [&] {
        id += 1;
        return queued_job{id,
                          caller_id{static_cast<std::int64_t>(random() % callers)},
                          urgency_class::normal,
                          job_class::short_job,
                          std::chrono::milliseconds{200},
                          now,
                          now + std::chrono::hours{1}};
    };
    for (admission_queue &queue : queues) {
        for (std::size_t left = isFull ? 400 : 100; left > 0; --left) {
            queue.offer(job(), now, random);
        }
    }

    return timeDecision(model, isFull ? "refusal" : "admission and take", [&](std::size_t) {
        admission_queue &queue = queues[random() % queues.size()];
        queue.offer(job(), now, random);
        if (!isFull) {
            queue.takeNext({}, now);
        }
    });
}

} // namespace

std::vector<decision_timing> timeDecisions(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<decision_timing> timings;
    for (const deployment &model : {hungPhat(), scaledDeployment("middle-size", 300, 50, 6, 2), twoYearSize()}) {
        timings.push_back(timePlacement(model, random));
        timings.push_back(timeQueue(model, random, false));
        timings.push_back(timeQueue(model, random, true));
    }

    return timings;
}

} // namespace parsleyglade
