#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"
#include "placement/ejection_state.h"
#include "placement/endpoint_limits.h"
#include "placement/job_class.h"
#include "placement/peer_load.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/**
 * One endpoint as one entry host sees it: its own jobs in flight, what the other entry hosts last reported, and the endpoint's health.
 *
 * The counts of other entry hosts lose weight evenly with age and are dropped at endpoint_limits::peerLoadLifetime.
 */
class endpoint_view
{
public:
    endpoint_view(std::string host, endpoint_limits limits);

    const std::string &host() const
    {
        return m_host;
    }

    const endpoint_limits &limits() const
    {
        return m_limits;
    }

    void setLimits(endpoint_limits limits);

    /** Counts a job that is about to be sent. */
    void jobStarted(job_class jobClass);

    /** Ends the count of a job. @pre a job of this class was started. */
    void jobEnded(job_class jobClass);

    /** Counts a running short job as long from now on. @pre a short job was started. */
    void jobBecameLong();

    /** Replaces the last count of another entry host. @pre longInFlight <= inFlight */
    void setPeerLoad(const peer_load &load);

    /** Drops the count of an entry host that has ended. */
    void removePeer(incarnation_id peer);

    void probeSucceeded(time_point now);

    void setDrained(bool drained)
    {
        m_drained = drained;
    }

    void setLeaving(bool leaving)
    {
        m_leaving = leaving;
    }

    bool isDrained() const
    {
        return m_drained;
    }

    bool isLeaving() const
    {
        return m_leaving;
    }

    /** Whether the last good probe is recent. An endpoint that was never probed is not. */
    bool hasRecentProbe(time_point now) const;

    /** Whether new work may be sent, slots left aside: membership, probes, ejection, probation and connections allow it. */
    bool acceptsWork(time_point now) const;

    /**
     * Whether this entry host may use a slot for a job of the class.
     *
     * It may always use its even share of the slots, rounded up, whatever the others reported: entry hosts that see each other's counts late would
     * otherwise all stop and all start together. Above its share it needs, by the aged counts, a free slot for itself and one for each other entry host,
     * as the others may take one before their reports arrive. Long jobs never exceed the entry host's share of the long slots, rounded down, so old
     * counts cannot fill an endpoint with them; with more entry hosts than long slots the aged counts alone decide.
     */
    bool hasSlot(job_class jobClass, time_point now) const;

    std::uint32_t ownInFlight() const
    {
        return m_own[0] + m_own[1];
    }

    std::uint32_t ownInFlight(job_class jobClass) const
    {
        return m_own[static_cast<std::size_t>(jobClass)];
    }

    /** Own jobs and the aged counts of other entry hosts, by class. */
    std::array<double, jobClassCount> load(time_point now) const;

    /** Slots that long jobs may hold; at least one when the share is above zero. */
    std::uint32_t longSlots() const;

    const ejection_state &ejection() const
    {
        return m_ejection;
    }

    ejection_state &ejection()
    {
        return m_ejection;
    }

private:
    std::uint32_t shareOf(std::uint32_t slots) const;

    std::string m_host;
    endpoint_limits m_limits;
    std::array<std::uint32_t, jobClassCount> m_own{};
    std::vector<peer_load> m_peers;
    std::optional<time_point> m_lastGoodProbe;
    ejection_state m_ejection;
    bool m_drained = false;
    bool m_leaving = false;
};

} // namespace parsleyglade
