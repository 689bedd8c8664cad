#pragma once

#include "teams/team_account.h"

#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** The accounts of all teams. An account stays when its team leaves the configuration, because its tasks may still run; its last limits stay in force. */
class team_ledger
{
public:
    team_ledger() = default;
    team_ledger(const team_ledger &) = delete;
    team_ledger &operator=(const team_ledger &) = delete;

    /** Puts the limits of a configuration in force. What runs is not changed: a team above a lowered cap gets no new starts until it is below. */
    void setPolicies(const std::vector<team_policy> &policies, time_point now);

    /** Returns the account of a team, and opens it if there is none. Valid as long as the ledger. An empty name is the account of all jobs without a team. */
    team_account &account(const std::string &team);

    /** Returns the account of a team; null if there is none. */
    const team_account *find(const std::string &team) const;

    /** Sets the capacity of all executors together, which the shares refer to. */
    void setCapacity(const resources &capacity);

    /** Returns the largest share that the team uses of any resource, divided by its weight (dominant resource fairness). */
    double weightedShare(const team_account &account) const;

    /** Returns the weight of a team in the division of a full pool. */
    double weightOf(const team_account &account) const;

    const std::map<std::string, team_account> &accounts() const
    {
        return m_accounts;
    }

private:
    std::map<std::string, team_account> m_accounts;
    resources m_capacity;
    double m_meanWeight = 1.0;
};

} // namespace parsleyglade
