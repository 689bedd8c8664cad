#pragma once

#include "placement/retry_budget_settings.h"

namespace parsleyglade {

/** What is known about a failed attempt; decides whether a job that is not idempotent may be retried. */
enum class attempt_evidence {
    certainly_not_started, /**< The endpoint refused the job, or no byte of the request was sent. */
    may_have_started, /**< The endpoint may have started the job, for example if the connection was closed without a response. */
};

/**
 * Limits retries to a fraction of the first attempts, so that they cannot multiply the load of a failing pool.
 *
 * Each first attempt earns a fraction of a retry. Unused retries accumulate up to a limit. Starts empty. Not thread-safe.
 */
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings = {});

    /** Records that a job was sent for the first time. */
    void recordFirstAttempt();

    /**
     * Returns whether a job may be sent again, and if so deducts one retry. A job that may have started is retried only if it is idempotent.
     */
    bool tryRetry(bool isIdempotent, attempt_evidence evidence);

    /** Number of retries currently available; may be fractional. */
    double available() const
    {
        return m_available;
    }

private:
    retry_budget_settings m_settings;
    double m_available = 0.0;
};

} // namespace parsleyglade
