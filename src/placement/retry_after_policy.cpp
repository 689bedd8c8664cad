#include "placement/retry_after_policy.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

retry_after_policy::retry_after_policy(retry_after_settings settings)
    : m_settings(settings)
{
    assert(settings.base > duration::zero() && settings.maximum >= settings.base);
    assert(settings.jitter >= 0.0 && settings.jitter < 1.0);
}

duration retry_after_policy::next(double excess, std::mt19937_64 &random) const
{
    const double maximum = toSeconds(m_settings.maximum);
    const double mean = std::min(toSeconds(m_settings.base) * (1.0 + std::max(excess, 0.0)), maximum / (1.0 + m_settings.jitter));
    std::uniform_real_distribution<double> spread(1.0 - m_settings.jitter, 1.0 + m_settings.jitter);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(mean * spread(random)));
}

} // namespace parsleyglade
