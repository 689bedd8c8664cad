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
 * Learns the run times of one pool's routes from what was seen. The declared time serves only until the first observation.
 *
 * The boundary between short and long is a multiple of the pool's typical run time, an approximate median that a few long jobs do not move.
 * @see run_time_settings
 */
class run_time_estimator
{
public:
    explicit run_time_estimator(run_time_settings settings = {});

    /** Takes in the run time of a job that completed. Times below 1 µs count as 1 µs. */
    void observe(std::string_view route, duration runTime, time_point now);

    /** Takes in that a job is still running. Raises the estimate of a route that has no completed job yet. */
    void observeRunning(std::string_view route, duration elapsed, time_point now);

    /** Estimate for the next job of a route. */
    run_time_estimate estimate(std::string_view route, duration declared, time_point now) const;

    /** Run time above which a job is long; nothing before the first observation. */
    std::optional<duration> longThreshold() const;

    /** Class of a job that has run for this long. A running job whose class changes should be counted as long from then on. */
    job_class classOf(duration runTime) const;

    /** Mean run time of the pool's jobs of a class, for work of which only the class is known. */
    duration meanRunTime(job_class jobClass) const;

private:
    struct route_statistics
    {
        double meanMicroseconds = 0.0;
        double logTypical = 0.0; /**< Mean of the logarithms; a single long job hardly moves it. */
        double weight = 0.0; /**< Observations that still count, after ageing. */
        std::uint64_t observations = 0;
        time_point lastSeen{};
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
