#include "placement/endpoint_view.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace parsleyglade {

namespace {

constexpr std::size_t shortIndex = static_cast<std::size_t>(job_class::short_job);
constexpr std::size_t longIndex = static_cast<std::size_t>(job_class::long_job);

double weightOfAge(duration age, duration lifetime)
{
    const double share = static_cast<double>(age.count()) / static_cast<double>(lifetime.count());
    return std::clamp(1.0 - share, 0.0, 1.0);
}

} // namespace

endpoint_view::endpoint_view(std::string host, endpoint_limits limits)
    : m_host(std::move(host))
{
    setLimits(limits);
}

void endpoint_view::setLimits(endpoint_limits limits)
{
    assert(limits.longJobSlotShare >= 0.0 && limits.longJobSlotShare <= 1.0);
    assert(limits.peerLoadLifetime > duration::zero());
    m_limits = limits;
}

void endpoint_view::jobStarted(job_class jobClass)
{
    m_own[static_cast<std::size_t>(jobClass)] += 1;
}

void endpoint_view::jobEnded(job_class jobClass)
{
    std::uint32_t &count = m_own[static_cast<std::size_t>(jobClass)];
    assert(count > 0);
    count -= 1;
}

void endpoint_view::jobBecameLong()
{
    jobEnded(job_class::short_job);
    jobStarted(job_class::long_job);
}

void endpoint_view::setPeerLoad(const peer_load &load)
{
    assert(load.longInFlight <= load.inFlight);
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), [&load](const peer_load &known) { return known.peer == load.peer; });
    if (found == m_peers.end()) {
        m_peers.push_back(load);
        return;
    }

    *found = load;
}

void endpoint_view::removePeer(incarnation_id peer)
{
    std::erase_if(m_peers, [peer](const peer_load &known) { return known.peer == peer; });
}

void endpoint_view::probeSucceeded(time_point now)
{
    m_lastSuccessfulProbe = now;
}

bool endpoint_view::hasRecentProbe(time_point now) const
{
    return m_lastSuccessfulProbe && now - *m_lastSuccessfulProbe <= m_limits.probeLifetime;
}

bool endpoint_view::acceptsWork(time_point now) const
{
    if (m_drained || m_leaving || !hasRecentProbe(now) || m_ejection.isEjected(now)) {
        return false;
    }
    if (m_ejection.onProbation && ownInFlight() > 0) {
        return false;
    }

    return ownInFlight() < m_limits.connections;
}

bool endpoint_view::hasSlot(job_class jobClass, time_point now) const
{
    const auto [shortLoad, longLoad] = load(now);
    const auto entryHosts = static_cast<std::uint32_t>(m_peers.size() + 1);
    const bool isWithinShare = ownInFlight() < (m_limits.slots + entryHosts - 1) / entryHosts;
    if (!isWithinShare && shortLoad + longLoad + static_cast<double>(entryHosts) > static_cast<double>(m_limits.slots)) {
        return false;
    }
    if (jobClass == job_class::short_job) {
        return true;
    }

    const std::uint32_t ownShare = shareOf(longSlots());
    const bool isWithinLongShare = ownShare == 0 || m_own[longIndex] + 1 <= ownShare;
    return isWithinLongShare && longLoad + 1.0 <= static_cast<double>(longSlots());
}

std::array<double, jobClassCount> endpoint_view::load(time_point now) const
{
    std::array<double, jobClassCount> total{static_cast<double>(m_own[shortIndex]), static_cast<double>(m_own[longIndex])};
    for (const peer_load &peer : m_peers) {
        const double weight = weightOfAge(now - peer.receivedAt, m_limits.peerLoadLifetime);
        total[shortIndex] += weight * static_cast<double>(peer.inFlight - peer.longInFlight);
        total[longIndex] += weight * static_cast<double>(peer.longInFlight);
    }

    return total;
}

std::uint32_t endpoint_view::longSlots() const
{
    const auto slots = static_cast<std::uint32_t>(m_limits.longJobSlotShare * static_cast<double>(m_limits.slots));
    return m_limits.longJobSlotShare > 0.0 ? std::max<std::uint32_t>(slots, 1) : 0;
}

std::uint32_t endpoint_view::shareOf(std::uint32_t slots) const
{
    return slots / static_cast<std::uint32_t>(m_peers.size() + 1);
}

} // namespace parsleyglade
