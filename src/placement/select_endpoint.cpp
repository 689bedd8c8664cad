#include "placement/select_endpoint.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <vector>

namespace parsleyglade {

namespace {

using selection = std::optional<std::size_t>;

/** Upper limit of the failure share in failureFactor, which keeps the factor finite. */
constexpr double failureShareCap = 0.95;

/** Factor by which failures raise the expected work, because an endpoint whose jobs fail quickly has few in flight and would seem idle. */
double failureFactor(const endpoint_view &endpoint)
{
    return 1.0 / (1.0 - std::min(endpoint.ejection().failureShare, failureShareCap));
}

/** Random index below the limit. @pre limit > 0 */
std::size_t randomIndex(std::size_t limit, std::mt19937_64 &random)
{
    return std::uniform_int_distribution<std::size_t>{0, limit - 1}(random);
}

/** Visitor of placement_policy that selects one of the endpoints of a pool; nullopt if none is free. */
struct selector
{
    std::span<const endpoint_view> endpoints;
    const placement_request &request;
    time_point now;
    std::mt19937_64 &random;

    bool isFree(const endpoint_view &endpoint, job_class jobClass) const
    {
        return endpoint.acceptsWork(now) && endpoint.hasSlot(jobClass, now);
    }

    /** Selects the eligible endpoint with the smallest rank. The search begins at a random index, which breaks ties. */
    template <typename Eligible, typename Rank> selection smallest(Eligible eligible, Rank rank) const
    {
        selection best;
        double bestRank = 0.0;
        const std::size_t start = randomIndex(endpoints.size(), random);
        for (std::size_t offset = 0; offset < endpoints.size(); ++offset) {
            const std::size_t index = (start + offset) % endpoints.size();
            if (!eligible(endpoints[index])) {
                continue;
            }

            const double candidate = rank(endpoints[index]);
            if (!best || candidate < bestRank) {
                best = index;
                bestRank = candidate;
            }
        }
        return best;
    }

    double inFlight(const endpoint_view &endpoint) const
    {
        const auto [shortLoad, longLoad] = endpoint.load(now);
        return shortLoad + longLoad;
    }

    selection operator()(const least_expected_work &policy) const
    {
        selection best;
        double bestWork = 0.0;
        std::size_t sampled = 0;
        // Visits the endpoints in random order until enough free ones are found. Only the part of the shuffle that is needed is computed.
        std::vector<std::uint32_t> order(endpoints.size());
        for (std::size_t index = 0; index < order.size(); ++index) {
            order[index] = static_cast<std::uint32_t>(index);
        }
        for (std::size_t position = 0; position < order.size() && sampled < policy.sampleCount; ++position) {
            std::swap(order[position], order[position + randomIndex(order.size() - position, random)]);
            const std::size_t index = order[position];
            if (!isFree(endpoints[index], request.jobClass)) {
                continue;
            }

            sampled += 1;
            const double work = expectedWork(endpoints[index], request, now);
            if (!best || work < bestWork) {
                best = index;
                bestWork = work;
            }
        }
        return best;
    }

    selection operator()(const two_queue_ageing &policy) const
    {
        const bool mayUseAnySlot = request.waited > policy.ageLimit;
        const auto eligible = [&](const endpoint_view &endpoint) {
            if (!isFree(endpoint, mayUseAnySlot ? job_class::short_job : request.jobClass)) {
                return false;
            }
            const double shortSlots = static_cast<double>(endpoint.limits().slots - endpoint.longSlots());
            const double shortLoad = endpoint.load(now)[static_cast<std::size_t>(job_class::short_job)];
            return mayUseAnySlot || request.jobClass == job_class::long_job || shortLoad + 1.0 <= shortSlots;
        };
        return smallest(eligible, [this](const endpoint_view &endpoint) { return (inFlight(endpoint) + 1.0) * failureFactor(endpoint); });
    }

    selection operator()(const least_connections & /*policy*/) const
    {
        return smallest([this](const endpoint_view &endpoint) { return isFree(endpoint, job_class::short_job); },
                        [this](const endpoint_view &endpoint) { return inFlight(endpoint); });
    }

    selection operator()(round_robin &policy) const
    {
        for (std::size_t offset = 0; offset < endpoints.size(); ++offset) {
            const std::size_t index = (policy.next + offset) % endpoints.size();
            if (isFree(endpoints[index], job_class::short_job)) {
                policy.next = index + 1;
                return index;
            }
        }
        return std::nullopt;
    }
};

failure noEndpoint(std::span<const endpoint_view> endpoints, time_point now)
{
    const bool anyAccepts = std::any_of(endpoints.begin(), endpoints.end(), [now](const endpoint_view &endpoint) { return endpoint.acceptsWork(now); });
    return {result_code::no_endpoint, anyAccepts ? "no endpoint has a free slot for the job's class" : "no endpoint of the pool accepts work", {}};
}

} // namespace

outcome<std::size_t> selectEndpoint(placement_policy &policy, std::span<const endpoint_view> endpoints, const placement_request &request, time_point now,
                                    std::mt19937_64 &random)
{
    if (endpoints.empty()) {
        return failure{result_code::no_endpoint, "the pool has no endpoint in this data centre", {}};
    }

    const selection selected = std::visit(selector{endpoints, request, now, random}, policy);
    if (!selected) {
        return noEndpoint(endpoints, now);
    }

    return *selected;
}

double expectedWork(const endpoint_view &endpoint, const placement_request &request, time_point now)
{
    std::array<double, jobClassCount> jobs = endpoint.load(now);
    jobs[static_cast<std::size_t>(request.jobClass)] += 1.0;
    double seconds = 0.0;
    for (std::size_t index = 0; index < jobClassCount; ++index) {
        seconds += jobs[index] * toSeconds(request.meanRunTimes[index]);
    }

    return seconds * failureFactor(endpoint) / static_cast<double>(std::max<std::uint32_t>(endpoint.limits().slots, 1));
}

} // namespace parsleyglade
