#include "placement/deficit_round_robin.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace parsleyglade {

namespace {

/** Minimum cost of a job, so that jobs without an estimate also use up their caller's quantum. */
constexpr double minimumCostSeconds = 0.001;

double costSeconds(const queued_job &job)
{
    return std::max(toSeconds(job.expectedRun), minimumCostSeconds);
}

} // namespace

deficit_round_robin::deficit_round_robin(duration quantum)
    : m_quantumSeconds(toSeconds(quantum))
{
    assert(quantum > duration::zero());
}

deficit_round_robin::position deficit_round_robin::push(const queued_job &job, double share)
{
    assert(share > 0.0);
    auto found = m_callers.find(job.caller);
    if (found == m_callers.end()) {
        const auto entry = m_ring.insert(m_ring.end(), backlog{job.caller, share, 0.0, {}});
        found = m_callers.emplace(job.caller, entry).first;
        m_activeShares += share;
    }

    auto &jobs = found->second->jobs;
    m_size += 1;
    return jobs.insert(jobs.end(), job);
}

queued_job deficit_round_robin::pop()
{
    assert(!isEmpty());
    std::size_t visited = 0;
    while (true) {
        backlog &front = m_ring.front();
        if (!m_granted) {
            front.deficitSeconds += m_quantumSeconds * front.share;
            m_granted = true;
        }

        const double cost = costSeconds(front.jobs.front());
        if (front.deficitSeconds >= cost) {
            front.deficitSeconds -= cost;
            return remove(front.jobs.begin());
        }

        advance();
        visited += 1;
        if (visited == m_ring.size()) {
            grantUntilOneIsServed();
        }
    }
}

queued_job deficit_round_robin::remove(position job)
{
    const queued_job removed = *job;
    const auto entry = m_callers.at(removed.caller);
    entry->jobs.erase(job);
    m_size -= 1;
    if (entry->jobs.empty()) {
        removeCaller(entry);
    }

    return removed;
}

const queued_job &deficit_round_robin::oldest() const
{
    assert(!isEmpty());
    const auto found = std::min_element(m_ring.begin(), m_ring.end(),
                                        [](const backlog &left, const backlog &right) { return left.jobs.front().arrivedAt < right.jobs.front().arrivedAt; });
    return found->jobs.front();
}

std::size_t deficit_round_robin::sizeOf(caller_id caller) const
{
    const auto found = m_callers.find(caller);
    return found == m_callers.end() ? 0 : found->second->jobs.size();
}

void deficit_round_robin::advance()
{
    m_ring.splice(m_ring.end(), m_ring, m_ring.begin());
    m_granted = false;
}

void deficit_round_robin::grantUntilOneIsServed()
{
    // A job may cost many quanta. Granting all turns except the last at once limits the work for one job to two visits of each caller.
    double turns = std::numeric_limits<double>::max();
    for (const backlog &entry : m_ring) {
        const double missing = costSeconds(entry.jobs.front()) - entry.deficitSeconds;
        turns = std::min(turns, std::ceil(missing / (m_quantumSeconds * entry.share)));
    }

    for (backlog &entry : m_ring) {
        entry.deficitSeconds += std::max(turns - 1.0, 0.0) * m_quantumSeconds * entry.share;
    }
}

void deficit_round_robin::removeCaller(ring::iterator entry)
{
    if (entry == m_ring.begin()) {
        m_granted = false;
    }
    m_callers.erase(entry->caller);
    m_activeShares = m_ring.size() == 1 ? 0.0 : m_activeShares - entry->share;
    m_ring.erase(entry);
}

} // namespace parsleyglade
