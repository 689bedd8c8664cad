#include "measure.h"

#include "process_usage.h"

#include <algorithm>
#include <limits>
#include <map>

namespace parsleyglade {

namespace {

using points = std::vector<std::pair<double, double>>;

/** Mean processor time of one run in microseconds. */
double meanProcessorMicroseconds(const measurement::operation &operation, double minimumMicroseconds)
{
    constexpr std::size_t maximumBatch = 1U << 20U;
    std::size_t runs = 0;
    std::size_t batch = 1; // Doubled each time, so that reading the clock costs little compared with short operations.
    const double start = processorMicroseconds();
    double usedMicroseconds = 0;
    while (usedMicroseconds < minimumMicroseconds) {
        for (std::size_t index = 0; index < batch; ++index) {
            operation.run();
        }
        runs += batch;
        batch = std::min(2 * batch, maximumBatch);
        usedMicroseconds = processorMicroseconds() - start;
    }
    return usedMicroseconds / static_cast<double>(runs);
}

/** Least of several means of the processor time of one run in microseconds. */
double leastProcessorMicroseconds(const measurement::operation &operation, double minimumMicroseconds)
{
    constexpr int runsPerMeasurement = 3;
    double least = std::numeric_limits<double>::max();
    for (int repeat = 0; repeat < runsPerMeasurement; ++repeat) {
        least = std::min(least, meanProcessorMicroseconds(operation, minimumMicroseconds));
    }
    return least;
}

} // namespace

std::vector<linear_fit> measure(measurement &measured, double minimumMilliseconds)
{
    constexpr double microsecondsPerMillisecond = 1e3;
    points memory;
    std::vector<std::string> order;
    std::map<std::string, points> times;
    std::map<std::string, points> outputs;
    for (const std::size_t size : measured.sizes()) {
        const auto sizeValue = static_cast<double>(size);
        const std::int64_t before = allocatedBytes();
        measured.build(size);
        memory.emplace_back(sizeValue, static_cast<double>(allocatedBytes() - before));
        order.clear();
        for (const measurement::operation &operation : measured.operations()) {
            order.push_back(operation.name);
            outputs[operation.name].emplace_back(sizeValue, static_cast<double>(operation.run()));
            times[operation.name].emplace_back(sizeValue, leastProcessorMicroseconds(operation, minimumMilliseconds * microsecondsPerMillisecond));
        }
        measured.release();
    }

    std::vector<linear_fit> result{linear_fit("memory", "bytes", memory)};
    for (const std::string &name : order) {
        result.emplace_back(name + ", processor", "µs", times.at(name));
        if (outputs.at(name).back().second > 0) {
            result.emplace_back(name + ", output", "bytes", outputs.at(name));
        }
    }
    return result;
}

} // namespace parsleyglade
