#include "placement/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

namespace {

/** Tolerance for the rounding error of adding the share many times. */
constexpr double rounding = 1e-9;

} // namespace

retry_budget::retry_budget(retry_budget_settings settings)
    : m_settings(settings)
{
    assert(settings.share >= 0.0 && settings.share <= 1.0);
}

void retry_budget::recordFirstAttempt()
{
    m_available = std::min(m_available + m_settings.share, m_settings.maximumKept);
}

bool retry_budget::tryRetry(bool isIdempotent, attempt_evidence evidence)
{
    if (!isIdempotent && evidence != attempt_evidence::certainly_not_started) {
        return false;
    }
    if (m_available + rounding < 1.0) {
        return false;
    }

    m_available = std::max(m_available - 1.0, 0.0);
    return true;
}

} // namespace parsleyglade
