#pragma once

#include "reports/reports.h"

#include <random>

namespace parsleyglade {

/** An ended job at one entry host, as input for recorders and for recount(). */
struct recorded_end
{
    std::size_t host = 0; /**< Index of the entry host. */
    std::string service;
    wall_time at{}; /**< Time at which the job ended. */
    job_end end;
};

constexpr wall_time testStart{std::chrono::milliseconds(1'796'342'400'000)}; // 2026-12-04 00:00 UTC.

/**
 * Generates ended jobs with various outcomes in ascending order of time. They are spread over some days with clusters, so that every window
 * contains some.
 */
inline std::vector<recorded_end> randomEnds(std::mt19937_64 &random, std::size_t hosts, std::size_t number)
{
    using namespace std::chrono_literals;
    static constexpr std::array codes{result_code::ok,         result_code::ok,         result_code::ok,
                                      result_code::queue_full, result_code::answer_cut, result_code::invalid_request,
                                      result_code::no_endpoint};
    static constexpr std::array steps{1'000, 15'000, 400'000, 9'000'000}; // Milliseconds; from less than the shortest bucket to more than the longest.
    std::vector<recorded_end> result;
    wall_time at = testStart;
    for (std::size_t index = 0; index < number; ++index) {
        const int step = steps.at(random() % 40 == 0 ? 3 : random() % 3);
        at += std::chrono::milliseconds(random() % static_cast<unsigned>(step));
        recorded_end each{random() % hosts, "service-" + std::to_string(random() % 3), at, {}};
        each.end.code = codes.at(random() % codes.size());
        each.end.httpStatus = random() % 4 == 0 ? 500 : 200;
        each.end.wasLate = random() % 4 == 0;
        each.end.duringMaintenance = random() % 5 == 0;
        each.end.latencyClass = static_cast<latency_class>(random() % latencyClassCount);
        each.end.latency = duration{random() % 5'000'000};
        result.push_back(each);
    }
    return result;
}

/** Counts the jobs that ended since the start of the bucket 30 before the current one, without adding up buckets. */
inline end_counts recount(const std::vector<recorded_end> &ends, const std::string &service, const burn_window_row &row, wall_time now)
{
    end_counts result;
    const wall_time oldest = row.startOf(row.bucketOf(now)) - row.length;
    for (const recorded_end &each : ends) {
        const auto cause = classifyEnd(each.end);
        if (each.service == service && each.at >= oldest && cause) {
            result.add(*cause);
        }
    }
    return result;
}

} // namespace parsleyglade
