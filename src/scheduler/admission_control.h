#pragma once

#include "core/time_types.h"
#include "teams/team_account.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace parsleyglade {

/** The team that work belongs to. Work without a team belongs to an account of its own. */
struct submitting_team
{
    const team_account *account = nullptr;
    double weight = 1.0; /**< In the division of a full pool. */
    bool isBeyondRate = false; /**< The work was submitted beyond the team's rate, and goes behind all that was not. */
};

/** Work that waits for the executors of a service, and their capacity for it. Work in millicore-milliseconds. */
struct service_load
{
    /** Work of one team within its rate. */
    struct team_work
    {
        double startable = 0.0; /**< Of the tasks that could start if there was capacity. */
        double held = 0.0; /**< Of the tasks for which the cap of the team has no room. */
    };

    double waitingMillicoreMilliseconds = 0.0; /**< Of the tasks that could start if there was capacity, within the rates of their teams. */
    std::int64_t capacityMillicores = 0; /**< Of the executors that accept work, without what long-running tasks reserve. */
    double beyondRateMillicoreMilliseconds = 0.0; /**< The same for tasks beyond the rates of their teams. */
    double waitingWeight = 0.0; /**< Sum of the weights of the teams in teams. */
    std::unordered_map<const team_account *, team_work> teams{};

    /** Adds waiting work of a team. */
    void add(const submitting_team &team, double startable, double held);
};

/**
 * Decides which submissions to refuse during a burst. A job that would wait for capacity until it is useless to its caller is refused at once, with
 * the time after which the backlog will have shrunk enough. So is a job that an overloaded control path would delay beyond its objective: accepting
 * it would delay all others as well, although executors are free.
 *
 * Where teams share a pool, a team whose tasks use less than its share waits for its own work only: the others do not get its share of what becomes free.
 */
class admission_control
{
public:
    /** Replaces the known loads, by service. */
    void update(std::map<std::string, service_load> loads);

    /** Adds work that was accepted since the last update. */
    void addAccepted(const std::string &service, const submitting_team &team, double millicoreMilliseconds);

    /** Sets the delay that rounds of decisions add to each job at their present rate. */
    void setRoundDelay(duration delay);

    /** Sets the delays of start orders. @param delayPerStart what each start in the sequence of a job waits for, on average
        @param presentDelay what the first start is expected to wait for, because the batch in flight has already taken so long */
    void setStartDelay(duration delayPerStart, duration presentDelay);

    /** Returns the delay that the control path adds to a job: the largest of those of its rounds and of its start orders, which overlap.
        @param startsInSequence starts that the job needs one after the other */
    duration controlDelay(int startsInSequence) const;

    /** Returns the time that new work of the team waits for capacity of the service; zero if nothing is known about the service. */
    duration expectedWait(const std::string &service, const submitting_team &team = {}) const;

    /** Decides about a job. @param capacityLimit longest wait for capacity after which the job is still useful to its caller
        @param controlLimit longest delay of the control path with which the job still meets its objective
        @param caller any text of the caller's; spreads the returns of different callers
        @param startsInSequence starts that the job needs one after the other
        @return the time after which the caller may retry, or nothing if the job should be accepted */
    std::optional<duration> findRetryDelay(const std::string &service, const submitting_team &team, duration capacityLimit, duration controlLimit,
                                           const std::string &caller, int startsInSequence = 1) const;

private:
    duration m_roundDelay{};
    duration m_delayPerStart{};
    duration m_presentStartDelay{};
    std::map<std::string, service_load> m_loads;
};

} // namespace parsleyglade
