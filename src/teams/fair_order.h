#pragma once

#include "teams/team_ledger.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace parsleyglade {

/**
 * Order in which waiting work of several teams is tried: always the next work of the team that uses the smallest share for its weight. So a full pool is
 * divided by weighted max-min fairness over the dominant resource (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011).
 *
 * The shares are read anew each time, so that what next() has returned counts once it has been placed. A step costs the logarithm of the number of teams
 * that have work. Work of one team keeps its order. Teams with equal shares are ordered by their priority, then by the work that was added first.
 */
class fair_order
{
public:
    /** @param ledger must outlive the order */
    explicit fair_order(const team_ledger &ledger);

    /** Adds work of a team, behind what was added for it before. @param item number by which next() names it */
    void add(std::size_t item, const team_account &account);

    /** Removes and returns the work that is next; nothing if none is left. */
    std::optional<std::size_t> next();

private:
    struct backlog
    {
        const team_account *account = nullptr;
        std::size_t taken = 0; /**< Number of its items that next() has returned. */
        std::vector<std::size_t> items;
    };

    struct turn
    {
        double share = 0.0;
        int priority = 0;
        std::size_t item = 0;
        std::size_t backlog = 0;

        friend bool operator>(const turn &left, const turn &right)
        {
            return std::tie(left.share, left.priority, left.item) > std::tie(right.share, right.priority, right.item);
        }
    };

    void start();
    void queueTurn(std::size_t number);

    const team_ledger *m_ledger;
    std::vector<backlog> m_backlogs;
    std::unordered_map<const team_account *, std::size_t> m_numbers; /**< Index in m_backlogs by team. */
    std::vector<turn> m_turns; /**< Heap with the smallest share first. */
    std::optional<std::size_t> m_last; /**< Backlog of the item that next() has returned last; its share may have changed since. */
    bool m_hasStarted = false;
};

} // namespace parsleyglade
