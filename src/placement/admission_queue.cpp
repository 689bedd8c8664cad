#include "placement/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace parsleyglade {

namespace {

/**
 * Latest start at which the job meets its deadline if it runs for the expected time.
 *
 * At most half of the time until the deadline is reserved for the run. Otherwise an estimate that is wrongly longer than the deadline would
 * cause every job of its route to be refused, and no run could ever correct the estimate.
 */
time_point latestStart(const queued_job &job)
{
    const duration allowed = std::max(job.deadline - job.arrivedAt, duration::zero());
    return job.deadline - std::min(job.expectedRun, allowed / 2);
}

/** Wait in proportion to the expected run time; run times below 1 ms count as 1 ms. */
double responseRatio(const queued_job &job, time_point now)
{
    return toSeconds(now - job.arrivedAt) / std::max(toSeconds(job.expectedRun), 0.001);
}

} // namespace

admission_queue::admission_queue(admission_settings settings)
    : m_settings(settings)
    , m_retryAfter(settings.retryAfter)
{
    assert(settings.maximumJobs > 0 && settings.maximumJobsOfCaller > 0);
    assert(settings.urgentReserve >= 0.0 && settings.urgentReserve < 1.0);
    for (std::size_t lane = 0; lane < laneCount; ++lane) {
        m_lanes.emplace_back(settings.quantum);
        m_drainRates.emplace_back(settings.drainGain);
    }
}

void admission_queue::setShare(caller_id caller, double share)
{
    assert(share > 0.0);
    stateOf(caller).share = share;
}

admission_decision admission_queue::offer(const queued_job &job, time_point now, std::mt19937_64 &random)
{
    assert(!m_locations.contains(job.id));
    const result_code code = checkAdmission(job, now);
    updateExcessLoad(code != result_code::ok, now);
    if (code != result_code::ok) {
        return {code, m_retryAfter.next(m_refused / std::max(m_accepted, 1.0), random)};
    }

    const std::size_t lane = laneOf(job.urgency, job.jobClass);
    if (m_lanes[lane].isEmpty()) {
        m_drainRates[lane].becameNonEmpty(now);
    }
    if (m_lanes[lane].sizeOf(job.caller) == 0) {
        stateOf(job.caller).drainRates[lane].becameNonEmpty(now);
    }
    addToCounts(job);
    m_locations.emplace(job.id, location{lane, m_lanes[lane].push(job, shareOf(job.caller))});
    return {};
}

std::optional<queued_job> admission_queue::takeNext(job_class_set free, time_point now)
{
    const auto lane = nextLane(free, now);
    if (!lane) {
        return std::nullopt;
    }

    const queued_job job = m_lanes[*lane].pop();
    m_drainRates[*lane].recordDeparture(now);
    stateOf(job.caller).drainRates[*lane].recordDeparture(now);
    m_locations.erase(job.id);
    removeFromCounts(job);
    return job;
}

bool admission_queue::cancel(std::uint64_t id)
{
    if (!m_locations.contains(id)) {
        return false;
    }

    removeJob(id);
    return true;
}

std::vector<queued_job> admission_queue::expire(time_point now)
{
    std::vector<queued_job> expired;
    while (!m_expiries.empty() && m_expiries.begin()->first < now) {
        expired.push_back(removeJob(m_expiries.begin()->second));
    }

    return expired;
}

std::optional<time_point> admission_queue::nextExpiry() const
{
    return m_expiries.empty() ? std::nullopt : std::optional{m_expiries.begin()->first};
}

std::optional<time_point> admission_queue::oldestArrival(job_class jobClass) const
{
    std::optional<time_point> oldest;
    for (const urgency_class urgency : {urgency_class::urgent, urgency_class::normal}) {
        const deficit_round_robin &lane = m_lanes[laneOf(urgency, jobClass)];
        if (!lane.isEmpty()) {
            const time_point arrival = lane.oldest().arrivedAt;
            oldest = oldest ? std::min(*oldest, arrival) : arrival;
        }
    }

    return oldest;
}

std::optional<duration> admission_queue::expectedWait(const queued_job &job, time_point now) const
{
    const std::size_t index = laneOf(job.urgency, job.jobClass);
    const deficit_round_robin &lane = m_lanes[index];
    if (lane.isEmpty()) {
        return duration::zero();
    }

    const double share = shareOf(job.caller);
    const std::size_t ownJobs = lane.sizeOf(job.caller);
    const double competing = lane.activeShares() + (ownJobs == 0 ? share : 0.0);
    const double ahead = std::min(static_cast<double>(lane.size()), static_cast<double>(ownJobs) * competing / share);
    const auto waitByShare = m_drainRates[index].expectedWait(ahead + 1.0, now);
    const auto caller = m_callers.find(job.caller);
    if (ownJobs == 0 || caller == m_callers.end()) {
        return waitByShare;
    }

    // The set of competing callers changes faster than the queue drains, so the departure rate of the caller's own jobs is the better
    // estimate if it gives a longer wait.
    return std::max(waitByShare, caller->second.drainRates[index].expectedWait(static_cast<double>(ownJobs) + 1.0, now));
}

std::size_t admission_queue::sizeOf(caller_id caller) const
{
    const auto found = m_callers.find(caller);
    return found == m_callers.end() ? 0 : std::accumulate(found->second.waiting.begin(), found->second.waiting.end(), std::size_t{0});
}

std::size_t admission_queue::laneOf(urgency_class urgency, job_class jobClass)
{
    return static_cast<std::size_t>(urgency) * jobClassCount + static_cast<std::size_t>(jobClass);
}

result_code admission_queue::checkAdmission(const queued_job &job, time_point now) const
{
    const double waiting = static_cast<double>(m_waiting[static_cast<std::size_t>(job.jobClass)]);
    if (size() >= m_settings.maximumJobs || waiting + 1.0 > std::max(capacityFor(job, m_settings.maximumJobs), 1.0)) {
        return result_code::queue_full;
    }

    const auto caller = m_callers.find(job.caller);
    if (caller != m_callers.end()) {
        const std::size_t ownJobs = caller->second.waiting[laneOf(job.urgency, job.jobClass)];
        if (ownJobs >= callerLimit(caller->second.share, job) || sizeOf(job.caller) >= m_settings.maximumJobsOfCaller) {
            return result_code::caller_over_limit;
        }
    }

    const duration wait = expectedWait(job, now).value_or(duration::zero());
    if (job.jobClass == job_class::short_job && wait > m_settings.maximumShortWait) {
        return result_code::queue_full;
    }
    return now + wait > latestStart(job) ? result_code::deadline_unreachable : result_code::ok;
}

double admission_queue::capacityFor(const queued_job &job, std::size_t maximum) const
{
    const double classShare = job.jobClass == job_class::long_job ? m_settings.longJobQueueShare : 1.0 - m_settings.longJobQueueShare;
    const double urgencyShare = job.urgency == urgency_class::urgent ? 1.0 : 1.0 - m_settings.urgentReserve;
    return classShare * urgencyShare * static_cast<double>(maximum);
}

std::size_t admission_queue::callerLimit(double share, const queued_job &job) const
{
    // Leaves capacity for one more caller with the same share, so that a burst of one caller cannot fill the queue before another one arrives.
    const double relativeShare = share / (m_lanes[laneOf(job.urgency, job.jobClass)].activeShares() + share);
    const double limit = std::min(relativeShare * capacityFor(job, m_settings.maximumJobs), capacityFor(job, m_settings.maximumJobsOfCaller));
    return std::max<std::size_t>(static_cast<std::size_t>(limit), 1);
}

admission_queue::caller_state &admission_queue::stateOf(caller_id caller)
{
    const auto found = m_callers.find(caller);
    if (found != m_callers.end()) {
        return found->second;
    }

    return m_callers.emplace(caller, caller_state{1.0, {}, std::vector<drain_rate>(laneCount, drain_rate(m_settings.drainGain))}).first->second;
}

double admission_queue::shareOf(caller_id caller) const
{
    const auto found = m_callers.find(caller);
    return found == m_callers.end() ? 1.0 : found->second.share;
}

std::optional<std::size_t> admission_queue::bestLane(urgency_class urgency, job_class_set free, time_point now) const
{
    std::optional<std::size_t> best;
    double bestRatio = 0.0;
    for (const job_class jobClass : {job_class::short_job, job_class::long_job}) {
        const std::size_t lane = laneOf(urgency, jobClass);
        if (!free.contains(jobClass) || m_lanes[lane].isEmpty()) {
            continue;
        }

        const double ratio = responseRatio(m_lanes[lane].oldest(), now);
        if (!best || ratio > bestRatio) {
            best = lane;
            bestRatio = ratio;
        }
    }

    return best;
}

std::optional<std::size_t> admission_queue::nextLane(job_class_set free, time_point now)
{
    const auto urgent = bestLane(urgency_class::urgent, free, now);
    const auto normal = bestLane(urgency_class::normal, free, now);
    if (urgent && (!normal || m_urgentInRow < m_settings.maximumUrgentInRow)) {
        m_urgentInRow = normal ? m_urgentInRow + 1 : 0;
        return urgent;
    }

    m_urgentInRow = 0;
    return normal;
}

void admission_queue::updateExcessLoad(bool isRefused, time_point now)
{
    const double weight = std::exp2(-toSeconds(now - m_countedAt) / toSeconds(m_settings.excessHalfLife));
    m_accepted = m_accepted * weight + (isRefused ? 0.0 : 1.0);
    m_refused = m_refused * weight + (isRefused ? 1.0 : 0.0);
    m_countedAt = now;
}

void admission_queue::addToCounts(const queued_job &job)
{
    stateOf(job.caller).waiting[laneOf(job.urgency, job.jobClass)] += 1;
    m_waiting[static_cast<std::size_t>(job.jobClass)] += 1;
    m_expiries.emplace(latestStart(job), job.id);
}

void admission_queue::removeFromCounts(const queued_job &job)
{
    stateOf(job.caller).waiting[laneOf(job.urgency, job.jobClass)] -= 1;
    m_waiting[static_cast<std::size_t>(job.jobClass)] -= 1;
    m_expiries.erase({latestStart(job), job.id});
}

queued_job admission_queue::removeJob(std::uint64_t id)
{
    const location jobLocation = m_locations.at(id);
    m_locations.erase(id);
    const queued_job job = m_lanes[jobLocation.lane].remove(jobLocation.position);
    removeFromCounts(job);
    return job;
}

} // namespace parsleyglade
