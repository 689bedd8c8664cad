#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** How jobs get their Idempotency-Key. */
enum class key_policy {
    none, /**< No Idempotency-Key. */
    new_keys, /**< A new key for each job. */
    repeated, /**< A share of the jobs repeats an earlier job with its key and body. */
};

/** When a failed attempt is repeated. */
enum class retry_policy {
    none,
    immediate, /**< Without delay. */
    honour_retry_after, /**< After the delay in the response: retryAfterMilliseconds of its JSON body, or its Retry-After header. */
};

/** Settings of a load_generator. */
struct load_settings
{
    std::vector<std::string> targets; /**< IP:PORT on loopback; each attempt is sent to a random one. */
    std::string route = "/"; /**< Request path. */
    std::string method = "POST";
    std::string token; /**< Sent as a bearer token unless empty. */
    double jobsPerSecond = 100; /**< Mean rate of new jobs, without retries. */
    double seconds = 10; /**< Time during which new jobs are sent. */
    key_policy keyPolicy = key_policy::new_keys;
    double repeatShare = 0; /**< Share of jobs that repeat an earlier one, 0 to 1; only for key_policy::repeated. */
    retry_policy retryPolicy = retry_policy::none;
    int maximumAttempts = 10; /**< Of one job, including the first. */
    double longShare = 0; /**< Share of long jobs, 0 to 1. */
    std::uint32_t runMilliseconds = 20; /**< Job-Run-Milliseconds header of short jobs: the run time requested from the stand-in endpoint. */
    std::uint32_t longRunMilliseconds = 400; /**< The same header of long jobs. */
    std::size_t minimumBodyBytes = 64; /**< Of a request. The text that identifies the job is padded to this size and is never truncated. */
    std::size_t maximumConnections = 256; /**< While all are in use, further attempts are not sent. */
    duration attemptTimeout = std::chrono::seconds{35};
    std::uint64_t seed = 1; /**< Of all random choices; generators that run at the same time need different seeds. */
    bool isIdempotent = false; /**< Whether a key may be executed more than once. */
};

} // namespace parsleyglade
