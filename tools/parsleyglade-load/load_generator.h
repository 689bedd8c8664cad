#pragma once

#include "key_history.h"
#include "load_settings.h"
#include "load_totals.h"

#include "external/delayed_calls.h"
#include "external/http_requester.h"

#include <random>

namespace parsleyglade {

/**
 * Open-loop load generator: sends jobs at random times with a fixed mean rate (a Poisson process), without waiting for the responses to earlier jobs.
 * Retries failed attempts as the settings say, and checks that each completed response echoes the body of its request.
 */
class load_generator
{
public:
    /** @param loop Must outlive this object. */
    load_generator(event_loop &loop, load_settings settings);
    load_generator(const load_generator &) = delete;
    load_generator &operator=(const load_generator &) = delete;

    /** Starts to send jobs. To be called once. @param done Called once, when no more jobs are due and the last attempt of every job has ended. */
    void start(std::function<void()> done);

    /** Results so far; complete once the callback of start() has run. Valid as long as this object. */
    const load_totals &totals() const;

    /** Histories by Idempotency-Key; jobs without a key are not included. Valid as long as this object. */
    const std::map<std::string, key_history> &histories() const;

private:
    struct job
    {
        std::string key;
        std::string body;
        bool isLong = false;
        time_point dueAt;
        int attempts = 0;
    };

    using job_pointer = std::shared_ptr<job>;

    void sendDueJobs();
    job_pointer nextJob();
    void sendAttempt(const job_pointer &item);
    void addUnansweredExample(const std::string &target, const http_result &response);
    void handleAttemptEnd(const job_pointer &item, const http_result &response);
    void checkBody(const job &item, const http_result &response);
    bool mayRetry(const job &item, const http_result &response, attempt_state state) const;
    duration retryDelay(const http_result &response) const;
    void recordJobEnd(const job &item, const http_result &response, attempt_state state);
    double uniformRandom();

    event_loop &m_loop;
    load_settings m_settings;
    std::mt19937_64 m_random;
    http_requester m_requester;
    load_totals m_totals;
    std::map<std::string, key_history> m_histories;
    std::vector<job_pointer> m_recentJobs; /**< Jobs that key_policy::repeated may repeat. */
    std::function<void()> m_done;
    time_point m_startedAt;
    time_point m_nextDueAt;
    time_point m_sendUntil;
    std::uint64_t m_unfinishedJobs = 0;
    bool m_isSending = false;
    timer_subscription m_tick;
    delayed_calls m_delayedCalls;
};

} // namespace parsleyglade
