#include "placement/run_time_estimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace parsleyglade {

namespace {

/** Mean run time that is assumed before the first observation. */
constexpr duration fallbackRunTime = std::chrono::seconds{1};

double positiveMicroseconds(duration value)
{
    return static_cast<double>(std::max<duration::rep>(value.count(), 1));
}

duration fromMicroseconds(double value)
{
    return duration{std::llround(value)};
}

} // namespace

run_time_estimator::run_time_estimator(run_time_settings settings)
    : m_settings(settings)
{
    assert(settings.minimumGain > 0.0 && settings.minimumGain <= 1.0);
    assert(settings.longFactor > 1.0);
    assert(settings.observationHalfLife > duration::zero());
}

void run_time_estimator::observe(std::string_view route, duration runTime, time_point now)
{
    const double microseconds = positiveMicroseconds(runTime);
    route_statistics &statistics = statisticsFor(route);

    if (statistics.observations == 0) {
        // The first observation replaces the declared time and the estimate derived from running jobs.
        statistics.weight = 0.0;
    } else {
        const double halfLives = toSeconds(now - statistics.lastObservedAt) / toSeconds(m_settings.observationHalfLife);
        statistics.weight *= std::exp2(-std::max(halfLives, 0.0));
    }

    statistics.weight += 1.0;
    const double gain = std::max(1.0 / statistics.weight, m_settings.minimumGain);
    statistics.meanMicroseconds += gain * (microseconds - statistics.meanMicroseconds);
    statistics.logTypical += gain * (std::log(microseconds) - statistics.logTypical);
    statistics.observations += 1;
    statistics.lastObservedAt = now;

    updatePoolStatistics(microseconds);
}

void run_time_estimator::observeRunning(std::string_view route, duration elapsed, time_point now)
{
    route_statistics &statistics = statisticsFor(route);
    if (statistics.observations > 0) {
        return;
    }

    const double microseconds = positiveMicroseconds(elapsed);
    if (microseconds > statistics.meanMicroseconds) {
        statistics.meanMicroseconds = microseconds;
        statistics.logTypical = std::log(microseconds);
        statistics.lastObservedAt = now;
    }
}

run_time_estimate run_time_estimator::estimate(std::string_view route, duration declared, time_point now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return {declared, classOf(declared), duration::zero(), 0};
    }

    const route_statistics &statistics = found->second;
    const duration age = now - statistics.lastObservedAt;
    if (statistics.observations == 0) {
        const duration expected = std::max(declared, fromMicroseconds(statistics.meanMicroseconds));
        return {expected, classOf(expected), age, 0};
    }

    return {fromMicroseconds(statistics.meanMicroseconds), classOf(fromMicroseconds(std::exp(statistics.logTypical))), age, statistics.observations};
}

std::optional<duration> run_time_estimator::longThreshold() const
{
    if (!m_logTypical) {
        return std::nullopt;
    }

    return fromMicroseconds(std::exp(*m_logTypical) * m_settings.longFactor);
}

job_class run_time_estimator::classOf(duration runTime) const
{
    const auto threshold = longThreshold();
    return threshold && runTime > *threshold ? job_class::long_job : job_class::short_job;
}

duration run_time_estimator::meanRunTime(job_class jobClass) const
{
    const auto &mean = m_classMeanMicroseconds[static_cast<std::size_t>(jobClass)];
    if (mean) {
        return fromMicroseconds(*mean);
    }
    if (!m_logTypical) {
        return fallbackRunTime;
    }

    const double factor = jobClass == job_class::long_job ? m_settings.longFactor : 1.0;
    return fromMicroseconds(std::exp(*m_logTypical) * factor);
}

run_time_estimator::route_statistics &run_time_estimator::statisticsFor(std::string_view route)
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() ? found->second : m_routes.try_emplace(std::string(route)).first->second;
}

void run_time_estimator::updatePoolStatistics(double microseconds)
{
    const double logarithm = std::log(microseconds);
    if (!m_logTypical) {
        m_logTypical = logarithm;
    } else {
        // Steps of bounded size towards each observation converge to the median.
        const double difference = logarithm - *m_logTypical;
        *m_logTypical += std::clamp(difference, -m_settings.typicalGain, m_settings.typicalGain);
    }

    auto &mean = m_classMeanMicroseconds[static_cast<std::size_t>(classOf(fromMicroseconds(microseconds)))];
    mean = mean ? *mean + m_settings.minimumGain * (microseconds - *mean) : microseconds;
}

} // namespace parsleyglade
