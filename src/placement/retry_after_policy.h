#pragma once

#include "core/time_types.h"
#include "placement/retry_after_settings.h"

#include <random>

namespace parsleyglade {

/** Computes the time after which a refused caller may retry. The time is randomised and grows with the excess load. */
class retry_after_policy
{
public:
    explicit retry_after_policy(retry_after_settings settings = {});

    /** Returns the time for one refusal. @param excess Refused load as a multiple of the accepted load; negative values count as 0. */
    duration next(double excess, std::mt19937_64 &random) const;

private:
    retry_after_settings m_settings;
};

} // namespace parsleyglade
