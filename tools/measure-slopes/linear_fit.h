#pragma once

#include <string>
#include <utility>
#include <vector>

namespace parsleyglade {

/** A figure measured at several sizes, and the straight line fitted to it by least squares. */
class linear_fit
{
public:
    /**
     * @param figure Name of what was measured.
     * @param unit Unit of the figure, such as "bytes".
     * @param points Pairs of size and figure, by ascending size; at least two different sizes.
     */
    linear_fit(std::string figure, std::string unit, std::vector<std::pair<double, double>> points);

    /** Name of what was measured. */
    const std::string &figure() const;

    /** Unit of the figure, such as "bytes". */
    const std::string &unit() const;

    /** Pairs of size and figure, by ascending size. */
    const std::vector<std::pair<double, double>> &points() const;

    /** Slope of the line: increase of the figure for each unit of size. */
    double perSize() const;

    /** Value of the line at size 0. */
    double intercept() const;

    /** Largest distance of a point from the line, as a share of the largest figure. It is high when the figure does not grow linearly. */
    double largestDeviation() const;

private:
    std::string m_figure;
    std::string m_unit;
    std::vector<std::pair<double, double>> m_points;
    double m_perSize = 0;
    double m_intercept = 0;
};

} // namespace parsleyglade
