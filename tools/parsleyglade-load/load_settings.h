#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

enum class key_policy {
    none, /**< No Idempotency-Key. */
    new_keys, /**< A key of its own for each job. */
    repeated, /**< A share of the jobs repeats an earlier job with its key and body. */
};

enum class retry_policy {
    none,
    immediate, /**< As soon as an attempt has failed. */
    honour_retry_after, /**< After the time that the answer's Retry-After asks for. */
};

struct load_settings
{
    std::vector<std::string> targets; /**< IP:PORT on loopback; each attempt goes to one at random. */
    std::string route = "/";
    std::string method = "POST";
    std::string token; /**< Sent as a bearer token unless empty. */
    double jobsPerSecond = 100; /**< Jobs a second. */
    double seconds = 10;
    key_policy keyPolicy = key_policy::new_keys;
    double repeatShare = 0;
    retry_policy retryPolicy = retry_policy::none;
    int maximumAttempts = 10; /**< Of one job, at most. */
    double longShare = 0;
    std::uint32_t runMilliseconds = 20; /**< Job-Run-Milliseconds of short jobs. */
    std::uint32_t longRunMilliseconds = 400;
    std::size_t minimumBodyBytes = 64; /**< Of a request, at least; a body that identifies its job comes first. */
    std::size_t maximumConnections = 256; /**< An attempt over this limit is not sent. */
    duration attemptTimeout = std::chrono::seconds{35}; /**< Of one attempt. */
    std::uint64_t seed = 1;
    bool isIdempotent = false; /**< Several executions of a key are no fault. */
};

} // namespace parsleyglade
