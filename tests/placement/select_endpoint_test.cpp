#include "placement/placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

const std::array<placement_policy, 4> policies{least_expected_work{}, two_queue_ageing{}, least_connections{}, round_robin{}};

placement_request requestOf(job_class jobClass, duration waited = 0s)
{
    return {jobClass, waited, {200ms, 10s}};
}

endpoint_view randomEndpoint(std::mt19937_64 &random, time_point now)
{
    endpoint_view endpoint("host", endpoint_limits{});
    if (random() % 8 != 0) {
        endpoint.probeSucceeded(now - duration{random() % 4'000'000});
    }
    endpoint.setDrained(random() % 5 == 0);
    endpoint.setLeaving(random() % 5 == 0);
    endpoint.ejection().ejectedUntil = now + duration{random() % 2'000'000} - 1s;
    const std::uint32_t peerLong = static_cast<std::uint32_t>(random() % 3);
    endpoint.setPeerLoad({incarnation_id{1}, static_cast<std::uint32_t>(peerLong + random() % 6), peerLong, now - duration{random() % 6'000'000}});
    return endpoint;
}

} // namespace

// Guards against a policy that selects an endpoint that is drained, leaving or ejected, or that does not respond to probes.
TEST_CASE("an endpoint that does not accept work is never selected")
{
    rc::prop("for every policy", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const time_point now{100s};
        std::vector<endpoint_view> pool;
        for (std::uint64_t remaining = 1 + random() % 12; remaining > 0; --remaining) {
            pool.push_back(randomEndpoint(random, now));
        }
        for (placement_policy policy : policies) {
            for (const job_class jobClass : {job_class::short_job, job_class::long_job}) {
                const auto selected = selectEndpoint(policy, pool, requestOf(jobClass, duration{random() % 10'000'000}), now, random);
                if (!selected) {
                    RC_ASSERT(selected.lastReason().code == result_code::no_endpoint);
                    RC_ASSERT(!selected.lastReason().reason.empty());
                    continue;
                }
                const endpoint_view &endpoint = pool.at(*selected);
                RC_ASSERT(!endpoint.isDrained());
                RC_ASSERT(!endpoint.isLeaving());
                RC_ASSERT(endpoint.hasRecentProbe(now));
                RC_ASSERT(!endpoint.ejection().isEjected(now));
                RC_ASSERT(endpoint.hasSlot(job_class::short_job, now));
                RC_ASSERT(endpoint.ownInFlight() < endpoint.limits().connections);
            }
        }
    });
}

// Guards against a changed limit of the probe age: an endpoint must receive no work later than 2 s after its last successful probe.
TEST_CASE("an endpoint is unusable once its last successful probe is older than 2 s")
{
    endpoint_view endpoint("host", endpoint_limits{});
    const time_point probed{5s};
    CHECK_FALSE(endpoint.hasRecentProbe(probed));
    endpoint.probeSucceeded(probed);
    CHECK(endpoint.acceptsWork(probed + 2s));
    CHECK_FALSE(endpoint.acceptsWork(probed + 2s + 1us));
}

// Guards against short jobs that have to wait because long jobs occupy all slots.
TEST_CASE("long jobs never occupy more than their share of the slots")
{
    rc::prop("with random arrivals, completions and reports of other entry hosts", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        time_point now{1s};
        std::vector<endpoint_view> pool(1 + random() % 6, endpoint_view("host", endpoint_limits{.longJobSlotShare = static_cast<double>(random() % 9) / 8.0}));
        placement_policy policy;
        for (int step = 0; step < 300; ++step) {
            now += 1ms;
            endpoint_view &touched = pool[random() % pool.size()];
            for (endpoint_view &endpoint : pool) {
                endpoint.probeSucceeded(now);
            }
            if (random() % 4 == 0) {
                const auto peerLong = static_cast<std::uint32_t>(random() % 3);
                touched.setPeerLoad({incarnation_id{1}, peerLong + 1, peerLong, now});
            }
            const job_class jobClass = random() % 2 == 0 ? job_class::long_job : job_class::short_job;
            if (random() % 3 == 0 && touched.ownInFlight(jobClass) > 0) {
                touched.jobEnded(jobClass);
                continue;
            }
            const auto selected = selectEndpoint(policy, pool, requestOf(jobClass), now, random);
            if (!selected) {
                continue;
            }
            endpoint_view &endpoint = pool[*selected];
            endpoint.jobStarted(jobClass);
            const auto [shortLoad, longLoad] = endpoint.load(now);
            RC_ASSERT(shortLoad + longLoad <= endpoint.limits().slots || endpoint.ownInFlight() <= endpoint.limits().slots / 2);
            if (jobClass == job_class::long_job) {
                RC_ASSERT(longLoad <= endpoint.longSlots());
            }
        }
    });
}

// Guards against entry hosts that together fill an endpoint with long jobs because they learn of each other's jobs too late.
TEST_CASE("several entry hosts together keep long jobs within their share")
{
    rc::prop("with reports of any age", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const time_point now{1s};
        const auto hosts = static_cast<std::uint32_t>(2 + random() % 3);
        std::vector<std::vector<endpoint_view>> views(hosts, {endpoint_view("host", endpoint_limits{})});
        const auto report = [&](std::uint32_t from, std::uint32_t to) {
            const endpoint_view &sender = views[from][0];
            views[to][0].setPeerLoad({incarnation_id{from}, sender.ownInFlight(), sender.ownInFlight(job_class::long_job), now});
        };
        for (std::uint32_t host = 0; host < hosts; ++host) {
            views[host][0].probeSucceeded(now);
            for (std::uint32_t peer = 0; peer < hosts; ++peer) {
                if (peer != host) {
                    report(peer, host);
                }
            }
        }
        placement_policy policy;
        for (int step = 0; step < 300; ++step) {
            const auto host = static_cast<std::uint32_t>(random() % hosts);
            endpoint_view &view = views[host][0];
            const job_class jobClass = random() % 2 == 0 ? job_class::long_job : job_class::short_job;
            if (const auto to = static_cast<std::uint32_t>(random() % hosts); to != host && random() % 8 == 0) {
                report(host, to);
            } else if (random() % 3 == 0 && view.ownInFlight(jobClass) > 0) {
                view.jobEnded(jobClass);
            } else if (selectEndpoint(policy, views[host], requestOf(jobClass), now, random)) {
                view.jobStarted(jobClass);
            }
            std::uint32_t longJobs = 0;
            for (const auto &own : views) {
                longJobs += own[0].ownInFlight(job_class::long_job);
            }
            RC_ASSERT(longJobs <= view.longSlots());
        }
    });
}

// Guards against a selection that ignores the load of other entry hosts or does not reduce the weight of old reports.
TEST_CASE("reported loads of other entry hosts count, with a weight that decreases with age")
{
    std::mt19937_64 random(7);
    const time_point now{10s};
    std::vector<endpoint_view> pool(2, endpoint_view("host", endpoint_limits{}));
    for (endpoint_view &endpoint : pool) {
        endpoint.probeSucceeded(now);
    }
    pool[0].setPeerLoad({incarnation_id{1}, 4, 0, now});
    placement_policy policy;
    for (int job = 0; job < 20; ++job) {
        CHECK(*selectEndpoint(policy, pool, requestOf(job_class::short_job), now, random) == 1);
    }

    CHECK(pool[0].load(now + 2500ms)[0] == Approx(2.0));
    CHECK(pool[0].load(now + 5s)[0] == Approx(0.0));
    pool[0].removePeer(incarnation_id{1});
    CHECK(pool[0].load(now)[0] == Approx(0.0));
}
