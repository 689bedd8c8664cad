#include "slope.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace parsleyglade {

slope::slope(std::string figure, std::string unit, std::vector<std::pair<double, double>> points)
    : m_figure(std::move(figure))
    , m_unit(std::move(unit))
    , m_points(std::move(points))
{
    const auto number = static_cast<double>(m_points.size());
    double meanSize = 0;
    double meanValue = 0;
    for (const auto &[size, value] : m_points) {
        meanSize += size / number;
        meanValue += value / number;
    }

    double products = 0;
    double squares = 0;
    for (const auto &[size, value] : m_points) {
        products += (size - meanSize) * (value - meanValue);
        squares += (size - meanSize) * (size - meanSize);
    }
    assert(squares > 0);
    m_perSize = products / squares;
    m_atZero = meanValue - m_perSize * meanSize;
}

const std::string &slope::figure() const
{
    return m_figure;
}

const std::string &slope::unit() const
{
    return m_unit;
}

const std::vector<std::pair<double, double>> &slope::points() const
{
    return m_points;
}

double slope::perSize() const
{
    return m_perSize;
}

double slope::atZero() const
{
    return m_atZero;
}

double slope::largestDeviation() const
{
    double deviation = 0;
    double largest = 0;
    for (const auto &[size, value] : m_points) {
        deviation = std::max(deviation, std::abs(value - m_atZero - m_perSize * size));
        largest = std::max(largest, std::abs(value));
    }
    return largest > 0 ? deviation / largest : 0;
}

} // namespace parsleyglade
