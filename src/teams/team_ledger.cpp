#include "teams/team_ledger.h"

#include <algorithm>

namespace parsleyglade {

namespace {

double shareOf(std::int64_t used, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0.0;
}

} // namespace

void team_ledger::setPolicies(const std::vector<team_policy> &policies, time_point now)
{
    double weights = 0.0;
    for (const team_policy &policy : policies) {
        team_account &entry = m_accounts[policy.name];
        entry.policy = policy;
        entry.allowance.setRate(policy.weight, now);
        weights += policy.weight;
    }
    m_meanWeight = weights > 0.0 ? weights / static_cast<double>(policies.size()) : 1.0;
}

team_account &team_ledger::account(const std::string &team)
{
    const auto [found, isNew] = m_accounts.try_emplace(team);
    if (isNew) {
        found->second.policy.name = team;
    }
    return found->second;
}

const team_account *team_ledger::find(const std::string &team) const
{
    const auto found = m_accounts.find(team);
    return found == m_accounts.end() ? nullptr : &found->second;
}

void team_ledger::setCapacity(const resources &capacity)
{
    m_capacity = capacity;
}

double team_ledger::weightOf(const team_account &account) const
{
    if (account.policy.weight > 0.0) {
        return account.policy.weight;
    }
    return account.policy.name.empty() ? m_meanWeight : 1.0;
}

double team_ledger::weightedShare(const team_account &account) const
{
    const double dominant
        = std::max({shareOf(account.used.cpuMillicores, m_capacity.cpuMillicores), shareOf(account.used.memoryMegabytes, m_capacity.memoryMegabytes),
                    shareOf(account.used.accelerators, m_capacity.accelerators)});
    return dominant / weightOf(account);
}

} // namespace parsleyglade
