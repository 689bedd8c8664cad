#include "teams/fair_order.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;

namespace {

team_policy makePolicy(std::string name, double weight, resources cap = {})
{
    team_policy policy;
    policy.name = std::move(name);
    policy.weight = weight;
    policy.cap = cap;
    return policy;
}

/** A pool that teams fill with tasks of one size each. */
class shared_pool
{
public:
    explicit shared_pool(resources capacity)
        : m_capacity(capacity)
    {
        m_ledger.setCapacity(capacity);
    }

    void addTeam(const std::string &name, double weight, resources task, std::size_t tasks)
    {
        m_policies.push_back(makePolicy(name, weight));
        m_ledger.setPolicies(m_policies, time_point{});
        for (std::size_t number = 0; number < tasks; ++number) {
            m_work.emplace_back(&m_ledger.account(name), task);
        }
    }

    /** Places work until nothing that is left fits. */
    void fill()
    {
        fair_order order(m_ledger);
        for (std::size_t number = 0; number < m_work.size(); ++number) {
            order.add(number, *m_work[number].first);
        }
        while (const auto item = order.next()) {
            const auto &[account, task] = m_work[*item];
            if (task.fitsInto(m_capacity - m_used)) {
                account->used += task;
                m_used += task;
            }
        }
    }

    double shareOf(const std::string &name)
    {
        const team_account &account = m_ledger.account(name);
        return m_ledger.weightedShare(account) * m_ledger.weightOf(account);
    }

    const resources &used() const
    {
        return m_used;
    }

private:
    resources m_capacity;
    resources m_used;
    team_ledger m_ledger;
    std::vector<team_policy> m_policies;
    std::vector<std::pair<team_account *, resources>> m_work;
};

} // namespace

// Load: one team has wide jobs, another narrow ones, and the pool is full. Guards against the wide jobs taking the pool, and against memory that is ignored.
TEST_CASE("a full pool is divided equally by the dominant resource, whatever the size of the tasks", "[teams]")
{
    shared_pool pool({90'000, 180'000, 0});
    pool.addTeam("wide in memory", 1.0, {1'000, 4'000, 0}, 200);
    pool.addTeam("wide in processors", 1.0, {3'000, 1'000, 0}, 200);
    pool.fill();
    // The example of the paper: both get two thirds of their dominant resource.
    CHECK(pool.shareOf("wide in memory") == Approx(2.0 / 3.0).margin(0.05));
    CHECK(pool.shareOf("wide in processors") == Approx(2.0 / 3.0).margin(0.05));
}

// Load: a team with seven times the work of 19 others. Guards against a share by the amount of work that waits.
TEST_CASE("a team with much work gets no more than its share while the others have work", "[teams]")
{
    shared_pool pool({40'000, 1'000'000, 0});
    pool.addTeam("large", 1.0, {100, 1, 0}, 700);
    for (int number = 0; number < 19; ++number) {
        pool.addTeam("quiet-" + std::to_string(number), 1.0, {100, 1, 0}, 100);
    }
    pool.fill();
    CHECK(pool.shareOf("large") == Approx(0.05).margin(0.005));
    CHECK(pool.shareOf("quiet-7") == Approx(0.05).margin(0.005));
}

// Guards against capacity that is left idle because it is the share of a team that does not need it.
TEST_CASE("what a team does not need goes to the others by their weights", "[teams]")
{
    shared_pool pool({120'000, 1'000'000, 0});
    pool.addTeam("idle", 10.0, {1'000, 1, 0}, 0);
    pool.addTeam("heavy", 2.0, {1'000, 1, 0}, 500);
    pool.addTeam("light", 1.0, {1'000, 1, 0}, 500);
    pool.fill();
    CHECK(pool.used().cpuMillicores == 120'000);
    CHECK(pool.shareOf("heavy") == Approx(2.0 / 3.0).margin(0.02));
    CHECK(pool.shareOf("light") == Approx(1.0 / 3.0).margin(0.02));
}

// Load: up to 120 teams with drawn weights and amounts of work. Guards against a team below its share beside one above it, and against idle capacity.
TEST_CASE("no team is below its weighted share while another is above and both have work", "[teams]")
{
    rc::prop("max-min fairness", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const auto teams = 2 + random() % 119;
        shared_pool pool({static_cast<std::int64_t>(teams) * 5'000, 1'000'000'000, 0});
        std::vector<std::pair<double, std::size_t>> drawn;
        for (std::size_t number = 0; number < teams; ++number) {
            drawn.emplace_back(1.0 + static_cast<double>(random() % 9), random() % 200);
            pool.addTeam("team-" + std::to_string(number), drawn.back().first, {100, 1, 0}, drawn.back().second);
        }
        pool.fill();

        const double task = 100.0 / (static_cast<double>(teams) * 5'000.0);
        double largest = 0.0;
        for (std::size_t number = 0; number < teams; ++number) {
            largest = std::max(largest, (pool.shareOf("team-" + std::to_string(number)) - task) / drawn[number].first);
        }
        bool isWorkLeft = false;
        for (std::size_t number = 0; number < teams; ++number) {
            const double share = pool.shareOf("team-" + std::to_string(number));
            const bool hasWork = share < static_cast<double>(drawn[number].second) * task - task / 2;
            isWorkLeft = isWorkLeft || hasWork;
            RC_ASSERT(!hasWork || share / drawn[number].first >= largest - 1e-9);
        }
        RC_ASSERT(!isWorkLeft || pool.used().cpuMillicores == static_cast<std::int64_t>(teams) * 5'000);
    });
}

// Guards against a cap that counts only one resource, and against one that stops a team which has none.
TEST_CASE("a cap holds for each resource, and zero is no limit", "[teams]")
{
    team_account account;
    account.policy = makePolicy("team", 1.0, {10'000, 0, 2});
    account.used = {9'000, 1'000'000, 2};
    CHECK(account.hasRoomFor({1'000, 1'000'000, 0}));
    CHECK_FALSE(account.hasRoomFor({1'001, 0, 0}));
    CHECK_FALSE(account.hasRoomFor({0, 0, 1}));
    CHECK(account.freeMillicores() == 1'000);
    account.policy.cap = {};
    CHECK(account.hasRoomFor({1'000'000, 1'000'000, 8}));
}
