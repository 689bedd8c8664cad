#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace parsleyglade {

/** Processor capacity that becomes free on an executor when a run ends. */
struct expected_end
{
    duration in{}; /**< From now. */
    std::int64_t millicores = 0;
};

/** Free capacity of one executor, and the ends that are expected on it. */
struct executor_forecast
{
    std::int64_t freeMillicores = 0;
    std::vector<expected_end> ends;
};

/** Returns how long a run is expected to go on.
    @param elapsed since its start @param expected run time of such tasks @param progress in percent, as its executor has reported it
    A run that has outlasted what was expected and shows no progress is taken to need half as long again: long run times have long tails. */
duration expectedRemaining(duration elapsed, duration expected, int progress);

/** When the executors of one rack have room for the tasks that want to run there. Looks at processor capacity only. */
class rack_forecast
{
public:
    explicit rack_forecast(std::vector<executor_forecast> executors);

    /** Returns how long a task waits that is next in line; nothing if no executor of the rack ever has room for it. */
    std::optional<duration> waitFor(std::int64_t millicores) const;

    /** Puts a task in line: it gets the room for which it waits the shortest time. */
    void queue(std::int64_t millicores);

    /** Free capacity of all executors that no task in line gets. */
    std::int64_t freeMillicores() const;

private:
    static std::optional<duration> waitOn(const executor_forecast &executor, std::int64_t millicores);
    std::optional<std::size_t> findFirst(std::int64_t millicores) const;

    std::vector<executor_forecast> m_executors; /**< With their ends in order of time. */
};

} // namespace parsleyglade
