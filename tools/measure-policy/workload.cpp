#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace parsleyglade {

namespace {

constexpr std::uint32_t shortRoutes = 4;
constexpr std::uint32_t urgentRoute = shortRoutes;
constexpr std::uint32_t longRoute = urgentRoute + 1;
constexpr std::uint32_t routeCount = longRoute + 1;
constexpr double shortRunTimeSigma = 0.5;
constexpr double longRunTimeSigma = 0.3;

/** Period during which the arrival rate of one pool is constant. */
struct rate_segment
{
    time_point start{};
    time_point end{};
    bool isBurst = false;
    std::uint32_t stormingCaller = 0;
};

duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/** Draws a log-normal run time with the given mean and the standard deviation sigma of its logarithm. */
duration randomRunTime(double meanSeconds, double sigma, std::mt19937_64 &random)
{
    std::lognormal_distribution<double> distribution(std::log(meanSeconds) - sigma * sigma / 2.0, sigma);
    return std::max(fromSeconds(distribution(random)), duration{1});
}

/** Returns the segments of each pool of one burst group. The pools of a group have bursts in turn, each of random duration. */
std::vector<std::vector<rate_segment>> makeSegments(std::size_t pools, const workload_settings &settings, std::mt19937_64 &random)
{
    std::vector<std::vector<rate_segment>> segments(pools);
    std::uniform_real_distribution<double> burstSeconds(toSeconds(settings.minimumBurst), toSeconds(settings.maximumBurst));
    const time_point end{settings.arrivalDuration};
    std::size_t turn = 0;
    for (time_point start{}; start < end; ++turn) {
        const time_point next = std::min(start + fromSeconds(burstSeconds(random)), end);
        const auto caller = static_cast<std::uint32_t>(random() % settings.callers);
        for (std::size_t pool = 0; pool < pools; ++pool) {
            segments[pool].push_back({start, next, turn % pools == pool, caller});
        }
        start = next;
    }

    return segments;
}

/** Generates the short or the long jobs of one pool. */
class job_stream
{
public:
    job_stream(const deployment &model, std::uint32_t pool, const workload_settings &settings, bool isLong, std::uint64_t seed)
        : m_pool(model.pools[pool])
        , m_poolIndex(pool)
        , m_settings(settings)
        , m_isLong(isLong)
        , m_random(seed)
    {
        std::uniform_real_distribution<double> error(-std::log(settings.declaredErrorFactor), std::log(settings.declaredErrorFactor));
        for (std::uint32_t route = 0; route < routeCount; ++route) {
            const double mean = m_pool.shortRunSeconds * (route == longRoute ? settings.longFactor : 1.0);
            m_declaredRunTimes.push_back(fromSeconds(mean * std::exp(error(m_random))));
        }
    }

    /** Appends the jobs that arrive within the segment, in no particular order. */
    void appendJobs(const rate_segment &segment, std::vector<model_job> &jobs)
    {
        const double shortRate = m_settings.shortLoad * static_cast<double>(m_pool.endpointCount() * endpoint_limits{}.slots) / m_pool.shortRunSeconds;
        const double meanRate = m_isLong ? shortRate * m_settings.longShare / (1.0 - m_settings.longShare) : shortRate;
        const double rate = meanRate * (segment.isBurst ? m_settings.burstFactor : m_settings.quietFactor);
        const double seconds = toSeconds(segment.end - segment.start);
        if (rate * seconds <= 0.0) {
            return;
        }

        std::uniform_real_distribution<double> offset(0.0, seconds);
        for (int left = std::poisson_distribution<int>(rate * seconds)(m_random); left > 0; --left) {
            jobs.push_back(makeJob(segment, segment.start + fromSeconds(offset(m_random))));
        }
    }

private:
    bool randomBool(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    std::uint32_t randomRoute()
    {
        if (m_isLong && !randomBool(m_settings.longShareOnShortRoutes)) {
            return longRoute;
        }
        return !m_isLong && randomBool(m_settings.urgentShare) ? urgentRoute : static_cast<std::uint32_t>(m_random() % shortRoutes);
    }

    model_job makeJob(const rate_segment &segment, time_point arrival)
    {
        model_job job;
        job.pool = m_poolIndex;
        job.route = randomRoute();
        job.urgency = job.route == urgentRoute ? urgency_class::urgent : urgency_class::normal;
        job.isIdempotent = job.route % 2 == 0;
        job.declaredRunTime = m_declaredRunTimes[job.route];
        job.arrivedAt = arrival;
        job.deadline = arrival + (job.route == longRoute ? m_settings.longDeadline : m_settings.shortDeadline);
        job.isLong = m_isLong;
        job.isInBurst = segment.isBurst;
        job.isFromStormingCaller = segment.isBurst && randomBool(m_settings.stormShare);
        job.caller = job.isFromStormingCaller ? segment.stormingCaller : randomOtherCaller(segment);
        const double factor = m_isLong ? m_settings.longFactor : 1.0;
        job.runTime = randomRunTime(m_pool.shortRunSeconds * factor, m_isLong ? longRunTimeSigma : shortRunTimeSigma, m_random);
        return job;
    }

    /** Returns a random caller that, within a burst, isn't the storming one. */
    std::uint32_t randomOtherCaller(const rate_segment &segment)
    {
        const auto callers = static_cast<std::uint32_t>(m_settings.callers);
        if (!segment.isBurst || callers < 2) {
            return static_cast<std::uint32_t>(m_random() % callers);
        }
        return (segment.stormingCaller + 1 + static_cast<std::uint32_t>(m_random() % (callers - 1))) % callers;
    }

    const pool_model &m_pool;
    std::uint32_t m_poolIndex;
    const workload_settings &m_settings;
    bool m_isLong;
    std::mt19937_64 m_random;
    std::vector<duration> m_declaredRunTimes;
};

} // namespace

std::vector<model_job> makeWorkload(const deployment &model, const workload_settings &settings, std::uint64_t seed)
{
    std::vector<model_job> jobs;
    std::mt19937_64 scheduleRandom(seed);
    for (std::size_t first = 0; first < model.pools.size(); first += model.burstGroupSize) {
        const std::size_t pools = std::min(model.burstGroupSize, model.pools.size() - first);
        const auto segments = makeSegments(pools, settings, scheduleRandom);
        for (std::size_t index = 0; index < pools; ++index) {
            for (const bool isLong : {false, true}) {
                const auto pool = static_cast<std::uint32_t>(first + index);
                job_stream stream(model, pool, settings, isLong, seed * 1'000'003 + std::uint64_t{2} * pool + (isLong ? 1 : 0));
                for (const rate_segment &segment : segments[index]) {
                    stream.appendJobs(segment, jobs);
                }
            }
        }
    }

    std::stable_sort(jobs.begin(), jobs.end(), [](const model_job &left, const model_job &right) { return left.arrivedAt < right.arrivedAt; });
    return jobs;
}

} // namespace parsleyglade
