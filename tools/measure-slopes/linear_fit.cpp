#include "linear_fit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace parsleyglade {

linear_fit::linear_fit(std::string figure, std::string unit, std::vector<std::pair<double, double>> points)
    : m_figure(std::move(figure))
    , m_unit(std::move(unit))
    , m_points(std::move(points))
{
    const auto count = static_cast<double>(m_points.size());
    double meanSize = 0;
    double meanValue = 0;
    for (const auto &[size, value] : m_points) {
        meanSize += size / count;
        meanValue += value / count;
    }

    double products = 0;
    double squares = 0;
    for (const auto &[size, value] : m_points) {
        products += (size - meanSize) * (value - meanValue);
        squares += (size - meanSize) * (size - meanSize);
    }
    assert(squares > 0);
    m_perSize = products / squares;
    m_intercept = meanValue - m_perSize * meanSize;
}

const std::string &linear_fit::figure() const
{
    return m_figure;
}

const std::string &linear_fit::unit() const
{
    return m_unit;
}

const std::vector<std::pair<double, double>> &linear_fit::points() const
{
    return m_points;
}

double linear_fit::perSize() const
{
    return m_perSize;
}

double linear_fit::intercept() const
{
    return m_intercept;
}

double linear_fit::largestDeviation() const
{
    double deviation = 0;
    double largest = 0;
    for (const auto &[size, value] : m_points) {
        deviation = std::max(deviation, std::abs(value - m_intercept - m_perSize * size));
        largest = std::max(largest, std::abs(value));
    }
    return largest > 0 ? deviation / largest : 0;
}

} // namespace parsleyglade
