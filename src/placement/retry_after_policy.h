#pragma once

#include "core/time_types.h"
#include "placement/retry_after_settings.h"

#include <random>

namespace parsleyglade {

/** Times after which refused callers may retry: spread at random, and longer the larger the excess load is. */
class retry_after_policy
{
public:
    explicit retry_after_policy(retry_after_settings settings = {});

    /** A time for one refusal. The excess is the refused load as a multiple of the accepted load, 0 or more. */
    duration next(double excess, std::mt19937_64 &random) const;

private:
    retry_after_settings m_settings;
};

} // namespace parsleyglade
