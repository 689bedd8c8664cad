#pragma once

#include "reports/end_cause.h"

#include <array>
#include <numeric>

namespace parsleyglade {

/** Counts of ended jobs by cause. */
class end_counts
{
public:
    /** Adds a number of ended jobs with one cause. */
    void add(end_cause cause, std::uint64_t number = 1)
    {
        m_counts.at(static_cast<std::size_t>(cause)) += number;
    }

    /** Adds the counts of each cause. */
    void add(const end_counts &other)
    {
        for (std::size_t index = 0; index < endCauseCount; ++index) {
            m_counts.at(index) += other.m_counts.at(index);
        }
    }

    /** Returns the number of ended jobs with one cause. */
    std::uint64_t of(end_cause cause) const
    {
        return m_counts.at(static_cast<std::size_t>(cause));
    }

    /** Returns the number of ended jobs over all causes. */
    std::uint64_t total() const
    {
        return std::accumulate(m_counts.begin(), m_counts.end(), std::uint64_t{0});
    }

    /** Returns the number of ended jobs that spent the budget: all except the good ones. */
    std::uint64_t spent() const
    {
        return total() - of(end_cause::good);
    }

    friend bool operator==(const end_counts &, const end_counts &) = default;

private:
    std::array<std::uint64_t, endCauseCount> m_counts{};
};

} // namespace parsleyglade
