#include "entry_pool.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace parsleyglade {

namespace {

constexpr duration baselineRetryDelay = std::chrono::seconds{1};

std::string_view routeName(std::uint32_t route)
{
    constexpr std::array<std::string_view, 6> names{"route-0", "route-1", "route-2", "route-3", "route-urgent", "route-long"};
    return names.at(route);
}

std::variant<admission_queue, fifo_queue> makeQueue(const policy_choice &choice)
{
    using queue = std::variant<admission_queue, fifo_queue>;
    return choice.queue == queue_kind::fifo ? queue(std::in_place_type<fifo_queue>, choice.admission.maximumJobs)
                                            : queue(std::in_place_type<admission_queue>, choice.admission);
}

} // namespace

entry_pool::entry_pool(const policy_choice &choice, std::uint64_t seed)
    : m_choice(choice)
    , m_random(seed)
    , m_runTimes(choice.runTimes)
    , m_ejector(choice.ejection)
    , m_queue(makeQueue(choice))
{
}

void entry_pool::addEndpoint(std::uint32_t endpoint, bool isLocal, time_point now)
{
    const std::size_t position = isLocal ? m_localCount : m_views.size();
    m_views.emplace(m_views.begin() + static_cast<std::ptrdiff_t>(position), std::to_string(endpoint), m_choice.limits);
    m_identifiers.insert(m_identifiers.begin() + static_cast<std::ptrdiff_t>(position), endpoint);
    m_views[position].probeSucceeded(now);
    m_localCount += isLocal ? 1 : 0;
}

void entry_pool::removeEndpoint(std::uint32_t endpoint, time_point now)
{
    const auto found = std::find(m_identifiers.begin(), m_identifiers.end(), endpoint);
    assert(found != m_identifiers.end());
    const auto index = found - m_identifiers.begin();
    m_localCount -= static_cast<std::size_t>(index) < m_localCount ? 1 : 0;
    m_views.erase(m_views.begin() + index);
    m_identifiers.erase(found);
    m_ejector.enforceEjectionLimit(m_views, now);
}

endpoint_view *entry_pool::find(std::uint32_t endpoint)
{
    const auto found = std::find(m_identifiers.begin(), m_identifiers.end(), endpoint);
    return found == m_identifiers.end() ? nullptr : &m_views[static_cast<std::size_t>(found - m_identifiers.begin())];
}

bool entry_pool::hasUsableEndpoint(time_point now) const
{
    const auto local = localViews();
    return std::any_of(local.begin(), local.end(),
                       [now](const endpoint_view &view) { return !view.isLeaving() && view.hasRecentProbe(now) && !view.ejection().isEjected(now); });
}

admission_decision entry_pool::offer(std::uint32_t id, const model_job &job, time_point now)
{
    const queued_job queuedJob = makeQueuedJob(id, job, now);
    admission_decision decision;
    if (auto *queue = std::get_if<admission_queue>(&m_queue)) {
        decision = queue->offer(queuedJob, now, m_random);
    } else {
        decision = {std::get<fifo_queue>(m_queue).offer(queuedJob), baselineRetryDelay};
    }
    if (decision.isAccepted()) {
        m_routes[id] = job.route;
    }

    return decision;
}

std::vector<std::uint32_t> entry_pool::expire(time_point now)
{
    const std::vector<queued_job> expired = std::visit([now](auto &queue) { return queue.expire(now); }, m_queue);
    std::vector<std::uint32_t> identifiers;
    for (const queued_job &job : expired) {
        identifiers.push_back(static_cast<std::uint32_t>(job.id));
        m_routes.erase(identifiers.back());
    }

    return identifiers;
}

std::optional<send_decision> entry_pool::sendNext(time_point now)
{
    if (auto *queue = std::get_if<admission_queue>(&m_queue)) {
        return sendNextAdmitted(*queue, now);
    }

    auto &fifoQueue = std::get<fifo_queue>(m_queue);
    if (fifoQueue.isEmpty()) {
        return std::nullopt;
    }

    const auto index = select(job_class::short_job, duration::zero(), now);
    return index ? std::optional{send(*fifoQueue.takeNext(), *index, now)} : std::nullopt;
}

void entry_pool::recordOutcome(std::uint32_t id, bool isSuccess, time_point now)
{
    const in_flight_job ended = m_inFlight.at(id);
    m_inFlight.erase(id);
    endpoint_view *view = find(ended.endpoint);
    assert(view != nullptr);
    view->jobEnded(ended.jobClass);

    const duration elapsed = now - ended.sentAt;
    if (isSuccess) {
        m_runTimes.observe(routeName(ended.route), elapsed, now);
        m_ejector.succeeded(*view);
        return;
    }

    m_ejector.failed(m_views, static_cast<std::size_t>(view - m_views.data()), elapsed, ended.expected, now, m_random);
}

void entry_pool::recordRefusal(std::uint32_t id)
{
    const in_flight_job ended = m_inFlight.at(id);
    m_inFlight.erase(id);
    find(ended.endpoint)->jobEnded(ended.jobClass);
}

void entry_pool::reclassifyRunning(time_point now)
{
    for (auto &[id, running] : m_inFlight) {
        const duration elapsed = now - running.sentAt;
        if (running.jobClass == job_class::short_job && m_runTimes.classOf(elapsed) == job_class::long_job) {
            running.jobClass = job_class::long_job;
            find(running.endpoint)->jobBecameLong();
            m_runTimes.observeRunning(routeName(running.route), elapsed, now);
        }
    }
}

void entry_pool::collectLoads(std::vector<load_report> &loads) const
{
    for (std::size_t index = 0; index < m_localCount; ++index) {
        loads.push_back({m_identifiers[index], m_views[index].ownInFlight(), m_views[index].ownInFlight(job_class::long_job)});
    }
}

std::size_t entry_pool::queued() const
{
    return std::visit([](const auto &queue) { return queue.size(); }, m_queue);
}

queued_job entry_pool::makeQueuedJob(std::uint32_t id, const model_job &job, time_point now) const
{
    const run_time_estimate estimate = m_runTimes.estimate(routeName(job.route), job.declaredRunTime, now);
    return {id, caller_id{job.caller}, job.urgency, estimate.jobClass, estimate.expected, job.arrivedAt, job.deadline};
}

std::span<const endpoint_view> entry_pool::localViews() const
{
    return std::span(m_views).first(m_localCount);
}

std::optional<std::size_t> entry_pool::select(job_class jobClass, duration waited, time_point now)
{
    const placement_request request{jobClass, waited, {m_runTimes.meanRunTime(job_class::short_job), m_runTimes.meanRunTime(job_class::long_job)}};
    const auto selected = selectEndpoint(m_choice.policy, localViews(), request, now, m_random);
    return selected ? std::optional{*selected} : std::nullopt;
}

send_decision entry_pool::send(const queued_job &job, std::size_t index, time_point now)
{
    const auto id = static_cast<std::uint32_t>(job.id);
    const auto route = m_routes.extract(id);
    m_views[index].jobStarted(job.jobClass);
    m_inFlight[id] = {m_identifiers[index], route.mapped(), job.jobClass, job.expectedRun, now};
    return {id, m_identifiers[index]};
}

std::optional<send_decision> entry_pool::sendNextAdmitted(admission_queue &queue, time_point now)
{
    std::array<std::optional<std::size_t>, jobClassCount> selected;
    for (const job_class jobClass : {job_class::short_job, job_class::long_job}) {
        if (const auto oldest = queue.oldestArrival(jobClass)) {
            selected[static_cast<std::size_t>(jobClass)] = select(jobClass, now - *oldest, now);
        }
    }

    const auto job = queue.takeNext({selected[0].has_value(), selected[1].has_value()}, now);
    return job ? std::optional{send(*job, *selected[static_cast<std::size_t>(job->jobClass)], now)} : std::nullopt;
}

} // namespace parsleyglade
