#pragma once

#include <string>
#include <utility>
#include <vector>

namespace parsleyglade {

/** A figure at several sizes and the straight line through it by least squares. */
class linear_fit
{
public:
    /** @pre at least two different sizes */
    linear_fit(std::string figure, std::string unit, std::vector<std::pair<double, double>> points);

    const std::string &figure() const;

    /** Unit of the figure, such as "bytes". */
    const std::string &unit() const;

    /** Size and figure, ascending. */
    const std::vector<std::pair<double, double>> &points() const;

    /** Rise of the figure for each unit of size. */
    double perSize() const;

    /** Figure at size 0. */
    double intercept() const;

    /** Largest distance of a point from the line as a share of the largest figure; high when the figure does not grow in a line. */
    double largestDeviation() const;

private:
    std::string m_figure;
    std::string m_unit;
    std::vector<std::pair<double, double>> m_points;
    double m_perSize = 0;
    double m_intercept = 0;
};

} // namespace parsleyglade
