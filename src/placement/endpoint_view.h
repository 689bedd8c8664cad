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
 * One entry host's view of an endpoint: its own jobs in flight, the load that other entry hosts last reported, and the endpoint's health.
 *
 * The weight of the reported load decreases linearly with its age, to zero at endpoint_limits::peerLoadLifetime. Not thread-safe.
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

    /** Counts a job as in flight. Call before the job is sent. */
    void jobStarted(job_class jobClass);

    /** Stops counting a job as in flight. @pre a job of this class is counted */
    void jobEnded(job_class jobClass);

    /** Reclassifies a running short job as long. @pre a short job is counted */
    void jobBecameLong();

    /** Sets the load reported by another entry host, replacing its previous report. @pre load.longInFlight <= load.inFlight */
    void setPeerLoad(const peer_load &load);

    /** Discards the reported load of an entry host whose process has ended. */
    void removePeer(incarnation_id peer);

    /** Records a successful probe of the endpoint. */
    void probeSucceeded(time_point now);

    /** Sets whether the host's membership excludes the endpoint from new work, for example because of a drain or a move. @see host_membership */
    void setDrained(bool drained)
    {
        m_drained = drained;
    }

    /** Sets whether the endpoint must not receive work because it reports that it is leaving. */
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

    /** Whether the last successful probe is at most endpoint_limits::probeLifetime old; false if there was none. */
    bool hasRecentProbe(time_point now) const;

    /**
     * Whether the endpoint may receive a job, regardless of slots: it is not drained, leaving or ejected, its last probe is recent, and this
     * entry host has a free connection (on probation: no other job in flight). @see hasSlot
     */
    bool acceptsWork(time_point now) const;

    /**
     * Whether this entry host may use a slot of the endpoint for a job of the class.
     *
     * An entry host may always use its equal share of the slots, rounded up, whatever load the others reported. Without this rule, all
     * entry hosts would stop and start sending at the same time, because reports arrive late. Beyond its share, the weighted reports must show a free slot
     * for this entry host and one for each other entry host, since each of them may use one before its next report arrives.
     *
     * Long jobs are limited to the entry host's equal share of the long slots, rounded down, so that outdated reports cannot let them fill
     * the endpoint. If there are more entry hosts than long slots, only the weighted reports limit them.
     */
    bool hasSlot(job_class jobClass, time_point now) const;

    /** Jobs of this entry host that are in flight. */
    std::uint32_t ownInFlight() const
    {
        return m_own[0] + m_own[1];
    }

    std::uint32_t ownInFlight(job_class jobClass) const
    {
        return m_own[static_cast<std::size_t>(jobClass)];
    }

    /** Jobs in flight by class: those of this entry host plus the others' reports, weighted by age. */
    std::array<double, jobClassCount> load(time_point now) const;

    /** Number of slots that long jobs may occupy; at least one if endpoint_limits::longJobSlotShare is above zero. */
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
    std::optional<time_point> m_lastSuccessfulProbe;
    ejection_state m_ejection;
    bool m_drained = false;
    bool m_leaving = false;
};

} // namespace parsleyglade
