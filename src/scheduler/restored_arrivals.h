#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/**
 * The last work that earlier leaders have accepted. Their successor takes it for the demand until it has seen arrivals itself. The times count back from the
 * newest acceptance, on the clock of the leader that accepted it, so that neither clocks that differ nor the time without a leader matter.
 */
class restored_arrivals
{
public:
    struct arrival
    {
        std::string queue;
        std::int64_t acceptedMilliseconds = 0; /**< Since the Unix epoch, on the accepting leader's clock. */
        std::int64_t work = 0; /**< In millicore-milliseconds. */
        time_point countsFrom{}; /**< When it counts as arrived at this leader. */
    };

    void add(const std::string &queue, std::int64_t acceptedMilliseconds, std::int64_t work);

    /** Keeps the arrivals of the time before the newest one, in order of time. Keeps none if the newest one is so far from the present, before or after it,
        that it says nothing about the present demand. @param length of the time */
    void keepNewest(duration length, time_point now, wall_time wallNow);

    /** Returns what keepNewest() has kept. */
    const std::vector<arrival> &arrivals() const;

    void clear();

private:
    std::vector<arrival> m_arrivals;
};

} // namespace parsleyglade
