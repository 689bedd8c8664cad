#pragma once

#include <algorithm>
#include <cstdint>

namespace parsleyglade {

/** Ratio of measured to declared run times, over recent runs. Declared run times are often wrong by a similar factor for all jobs of a queue. */
class run_time_ratio
{
public:
    /** Adds a run that has ended well. */
    void add(std::int64_t declaredMilliseconds, std::int64_t measuredMilliseconds)
    {
        m_runs = std::min(m_runs + 1, minimumRuns);
        m_declared = m_declared * retainedShare + static_cast<double>(declaredMilliseconds);
        m_measured = m_measured * retainedShare + static_cast<double>(measuredMilliseconds);
    }

    /** Returns the ratio, or 1 while too few runs are known. */
    double value() const
    {
        return m_runs < minimumRuns || m_declared <= 0.0 ? 1.0 : std::clamp(m_measured / m_declared, 1.0 / maximumRatio, maximumRatio);
    }

private:
    static constexpr int minimumRuns = 20;
    static constexpr double retainedShare = 0.995; // of the weight of earlier runs, with each new run
    static constexpr double maximumRatio = 4.0;

    int m_runs = 0;
    double m_declared = 0.0;
    double m_measured = 0.0;
};

} // namespace parsleyglade
