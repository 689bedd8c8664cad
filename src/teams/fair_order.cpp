#include "teams/fair_order.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace parsleyglade {

fair_order::fair_order(const team_ledger &ledger)
    : m_ledger(&ledger)
{
}

void fair_order::add(std::size_t item, const team_account &account)
{
    assert(!m_hasStarted);
    const auto [found, isNew] = m_numbers.try_emplace(&account, m_backlogs.size());
    if (isNew) {
        m_backlogs.push_back({&account, 0, {}});
    }
    m_backlogs[found->second].items.push_back(item);
}

std::optional<std::size_t> fair_order::next()
{
    start();
    if (m_last) {
        queueTurn(*std::exchange(m_last, std::nullopt));
    }
    if (m_turns.empty()) {
        return std::nullopt;
    }
    std::pop_heap(m_turns.begin(), m_turns.end(), std::greater<>());
    const turn chosen = m_turns.back();
    m_turns.pop_back();
    ++m_backlogs[chosen.backlog].taken;
    m_last = chosen.backlog;
    return chosen.item;
}

void fair_order::start()
{
    if (m_hasStarted) {
        return;
    }
    m_hasStarted = true;
    for (std::size_t number = 0; number < m_backlogs.size(); ++number) {
        queueTurn(number);
    }
}

void fair_order::queueTurn(std::size_t number)
{
    const backlog &entry = m_backlogs[number];
    if (entry.taken == entry.items.size()) {
        return;
    }
    m_turns.push_back({m_ledger->weightedShare(*entry.account), entry.account->policy.priority, entry.items[entry.taken], number});
    std::push_heap(m_turns.begin(), m_turns.end(), std::greater<>());
}

} // namespace parsleyglade
