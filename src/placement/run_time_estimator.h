#pragma once

#include "core/time_types.h"
#include "placement/job_class.h"
#include "placement/run_time_estimate.h"
#include "placement/run_time_settings.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace parsleyglade {

/**
 * Estimates the run times of the jobs of one pool, by route, from observed run times. A route's declared run time is used only until its
 * first observation.
 *
 * The boundary between short and long jobs is a multiple of the pool's typical run time, which is an approximate median, so that a few
 * long jobs hardly change it. Not thread-safe. @see run_time_settings
 */
class run_time_estimator
{
public:
    explicit run_time_estimator(run_time_settings settings = {});

    /** Records the run time of a completed job. Times below 1 µs count as 1 µs. */
    void observe(std::string_view route, duration runTime, time_point now);

    /** Records that a job is still running after the elapsed time. Raises the estimate of a route that has no completed job yet. */
    void observeRunning(std::string_view route, duration elapsed, time_point now);

    /** Estimates the run time and class of the next job of a route. @param declared Run time declared for the route in the configuration. */
    run_time_estimate estimate(std::string_view route, duration declared, time_point now) const;

    /** Run time above which a job is long; nullopt before the first observation. */
    std::optional<duration> longThreshold() const;

    /**
     * Class of a job with this run time; short before the first observation. If a running job's class changes to long, count it as long from
     * then on. @see endpoint_view::jobBecameLong
     */
    job_class classOf(duration runTime) const;

    /** Mean run time of the pool's jobs of a class, for jobs of which only the class is known. Always has a value; 1 s before observations. */
    duration meanRunTime(job_class jobClass) const;

private:
    struct route_statistics
    {
        double meanMicroseconds = 0.0;
        double logTypical = 0.0; /**< Mean of the logarithms of the run times, on which a single long job has little influence. */
        double weight = 0.0; /**< Sum of the observations' weights, which decay with age. */
        std::uint64_t observations = 0;
        time_point lastObservedAt{};
    };

    struct text_hash
    {
        using is_transparent = void;

        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    route_statistics &statisticsFor(std::string_view route);
    void updatePoolStatistics(double microseconds);

    run_time_settings m_settings;
    std::unordered_map<std::string, route_statistics, text_hash, std::equal_to<>> m_routes;
    std::optional<double> m_logTypical;
    std::array<std::optional<double>, jobClassCount> m_classMeanMicroseconds;
};

} // namespace parsleyglade
