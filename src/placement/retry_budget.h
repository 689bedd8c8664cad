#pragma once

#include "placement/retry_budget_settings.h"

namespace parsleyglade {

/** What is known about an attempt that failed. */
enum class attempt_evidence {
    certainly_not_started, /**< The endpoint refused it, or no byte of it was sent. */
    may_have_started,
};

/**
 * Limits the jobs that are sent again to a share of the first attempts, so that retries cannot multiply the load of a failing pool.
 *
 * Each first attempt earns a share of one retry. What is earned but not used is kept up to a limit.
 */
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings = {});

    /** Counts a job that is sent for the first time. */
    void firstAttempt();

    /** Whether the job may be sent again; if so, the retry is counted. A job that may have started is sent again only if it is idempotent. */
    bool tryRetry(bool isIdempotent, attempt_evidence evidence);

    /** Retries that are available now. */
    double available() const
    {
        return m_available;
    }

private:
    retry_budget_settings m_settings;
    double m_available = 0.0;
};

} // namespace parsleyglade
