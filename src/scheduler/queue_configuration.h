#pragma once

#include "teams/key_directory.h"
#include "teams/team_policy.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/** Cost and validity of the placement advice of a queue. Times in milliseconds. */
struct advice_policy
{
    std::int64_t decisionMilliseconds = 0;
    std::int64_t perExecutorMilliseconds = 0;
    std::int64_t validMilliseconds = 0;
};

/** Configuration of a queue: which requests belong to it, and how its jobs are run. */
struct queue_policy
{
    std::string name;
    std::string host; /**< Value of the Host header of its requests. */
    std::string pathPrefix;
    std::string service; /**< Service whose pool runs the jobs. */
    int priority = 0; /**< 0 is the highest. */
    int maximumAttempts = 1; /**< Failed runs of a task, or of all members of a gang together, after which the job fails. */
    double stretch = 1.0; /**< A job is on time if it finishes within stretch times its critical path plus targetMilliseconds. */
    std::int64_t targetMilliseconds = 0;
    std::optional<advice_policy> advice;
    bool isPublic = false; /**< Needs no key, also where teams are configured. */
};

/** Configuration of a service and its pool of hosts. */
struct service_policy
{
    std::string name;
    bool checksCapacity = false; /**< Its executors reject runs that exceed their capacity. */
    bool standby = false; /**< Standby pool: its hosts are switched off and can be moved to other pools. */
};

/** The operator's configuration that is in force. */
struct queue_configuration
{
    std::int64_t version = 0; /**< 0 until a configuration has been received. */
    std::vector<queue_policy> queues;
    std::vector<service_policy> services;
    bool hasTeams = false; /**< Queues need a key of a team, unless they are public. */
    std::vector<team_policy> teams;
    key_directory keys; /**< Of the teams. */

    /** Finds a queue by name; null if there is none. */
    const queue_policy *findQueue(std::string_view queueName) const;

    /** Whether calls for the queue need a key. */
    bool needsKey(const queue_policy &queue) const;

    /** Finds the queue for a request: same host and the longest matching path prefix. Null if there is none. */
    const queue_policy *match(std::string_view host, std::string_view path) const;
};

} // namespace parsleyglade
