#include "measure.h"
#include "measurement_registry.h"
#include "process_usage.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <iostream>

namespace {

using namespace parsleyglade;

nlohmann::json toJson(const measurement &measured, const linear_fit &each)
{
    return {{"measurement", measured.name()}, {"sizeUnit", measured.sizeUnit()}, {"figure", each.figure()},    {"unit", each.unit()},
            {"points", each.points()},        {"perSize", each.perSize()},       {"atZero", each.intercept()}, {"largestDeviation", each.largestDeviation()}};
}

void print(const measurement &measured, const std::vector<linear_fit> &fits)
{
    std::printf("%s, by %s\n", measured.name().c_str(), measured.sizeUnit().c_str());
    for (const linear_fit &each : fits) {
        std::printf("  %s, %s:", each.figure().c_str(), each.unit().c_str());
        for (const auto &[size, value] : each.points()) {
            std::printf("  %.0f → %.6g", size, value);
        }
        std::printf("\n    %.4g + %.4g × size, at most %.1f %% of the largest off the line\n", each.intercept(), each.perSize(), each.largestDeviation() * 100);
    }
}

} // namespace

/** Measures how memory and processor time of the project's own code grow with the size of its state. */
int main(int argc, char *argv[])
{
    CLI::App application("Measures memory and processor time of state in several sizes and prints how they grow with the size.");
    bool printsJson = false;
    std::string nameFilter;
    double minimumMilliseconds = 100;
    application.add_flag("--json", printsJson, "print JSON");
    application.add_option("--only", nameFilter, "run only measurements whose name contains this text");
    application.add_option("--minimum-milliseconds", minimumMilliseconds, "each operation is repeated until it has used this much processor time")
        ->check(CLI::Range(1.0, 60'000.0))
        ->capture_default_str();
    CLI11_PARSE(application, argc, argv);

    nlohmann::json list = nlohmann::json::array();
    for (const auto &each : measurement_registry::all()) {
        if (each->name().find(nameFilter) == std::string::npos) {
            continue;
        }
        const std::vector<linear_fit> fits = measure(*each, minimumMilliseconds);
        for (const linear_fit &figure : fits) {
            list.push_back(toJson(*each, figure));
        }
        if (!printsJson) {
            print(*each, fits);
        }
    }

    if (printsJson) {
        std::cout << nlohmann::json{{"slopes", list}, {"peakResidentBytes", peakResidentBytes()}}.dump(2) << '\n';
    } else {
        std::printf("largest resident size of the process: %lld bytes\n", static_cast<long long>(peakResidentBytes()));
    }
    return list.empty() ? 1 : 0;
}
