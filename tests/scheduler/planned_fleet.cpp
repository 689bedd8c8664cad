#include "planned_fleet.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr duration planInterval = std::chrono::milliseconds{100};
constexpr resources hostCapacity{8'000, 16'000, 0};

} // namespace

planned_fleet::planned_fleet()
{
    m_configuration.version = 1;
    for (const char *name : {"busy", "quiet"}) {
        queue_policy queue;
        queue.name = name;
        queue.service = name;
        queue.maximumAttempts = 4;
        queue.stretch = 2;
        queue.targetMilliseconds = 60'000;
        m_configuration.queues.push_back(queue);
        m_configuration.services.push_back({name, false, false});
    }
    m_configuration.services.push_back({"spare", false, true});
}

void planned_fleet::addHost(const std::string &name, const std::string &pool)
{
    host_description host;
    host.name = name;
    host.pool = pool;
    host.state = host_state::up;
    host.executor = pool == "spare" ? std::string() : name + "-0";
    host.capacity = hostCapacity;
    hosts[name] = host;
}

void planned_fleet::lead(bool hasPredecessorResigned, bool knowsRegistry)
{
    m_planner.reset();
    reports.clear();
    m_state = std::make_unique<scheduler>(scheduler_settings{});
    for (const auto &[key, value] : m_journal) {
        m_state->restore(key, value);
    }
    m_state->lead(++m_fence, now, wall(), hasPredecessorResigned);
    m_planner = std::make_unique<pool_planner>(*m_state, pool_planner_settings{});
    m_planner->lead(m_fence, now);
    m_state->setConfiguration(m_configuration);
    if (knowsRegistry) {
        readRegistry();
    }
}

void planned_fleet::resign()
{
    m_state->resign(now);
    settle();
}

void planned_fleet::readRegistry()
{
    for (const auto &[name, host] : hosts) {
        registerExecutor(host);
    }
    m_state->confirmRegistry();
}

std::vector<planned_fleet::move> planned_fleet::run(duration time)
{
    std::vector<move> moves;
    const time_point end = now + time;
    while (now < end) {
        settle();
        const auto orders = m_planner->decide(
            hosts, [](const std::string &) { return false; }, now);
        for (const host_order &order : orders) {
            moves.push_back({order.host, order.pool, now});
            carryOut(order);
        }
        if (const auto report = m_planner->takeShortageReport(now)) {
            reports.push_back(*report);
        }
        now += planInterval;
    }
    return moves;
}

void planned_fleet::submit(const std::string &queue, int jobs, std::int64_t millicores, std::int64_t milliseconds)
{
    for (int job = 0; job < jobs; ++job) {
        wire::work_record work;
        work.queue = queue;
        work.steps.emplace_back();
        work.steps.back().taskCount = 1;
        work.steps.back().demand.cpuMillicores = millicores;
        work.steps.back().estimateMilliseconds = milliseconds;
        work.steps.back().maximumAway = -1;
        m_jobs.push_back("job" + std::to_string(m_jobs.size()));
        m_state->submit(1, m_jobs.back(), work, wall());
    }
}

void planned_fleet::cancelAll()
{
    for (const std::string &job : m_jobs) {
        m_state->cancel(1, job, wall());
    }
    settle();
}

std::vector<planned_fleet::move> planned_fleet::moveHostsTo(const std::string &pool)
{
    submit(pool, 200, 2 * hostCapacity.cpuMillicores, 1'000); // fits nowhere, so that the hosts stay idle
    std::vector<move> moves = run(planInterval * 2);
    cancelAll();
    return moves;
}

wall_time planned_fleet::wall() const
{
    return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) + wallOffset);
}

void planned_fleet::settle()
{
    for (int round = 0; round < 3; ++round) {
        m_state->decide(now, wall());
        if (const auto batch = m_state->takeBatch()) {
            for (const journal_entry &entry : batch->entries) {
                m_journal[entry.key] = entry.value;
            }
            m_state->confirmBatch(batch->number, now);
        }
        for (scheduler_action &action : m_state->takeActions()) {
            if (const auto *start = std::get_if<start_order>(&action)) {
                m_state->handleStartResponse(*start, {order_result::done, 1'000}, now, now);
            }
        }
        for (const poll_order &poll : doExecutorsRespond ? m_state->takePolls(now) : std::vector<poll_order>()) {
            poll_response response;
            response.result = order_result::done;
            response.boot = 1;
            response.clockMilliseconds = 1'000 + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
            for (const run_key &key : m_state->findExecutor(poll.target.executor)->runs) {
                response.running.push_back({key.task, key.run, {}, 100, 0});
            }
            m_state->handlePollResponse(poll.target.executor, response, now, now);
        }
    }
}

void planned_fleet::registerExecutor(const host_description &host)
{
    if (host.executor.empty()) {
        return;
    }
    executor_description description;
    description.id = host.executor;
    description.boot = 1;
    description.address = host.executor;
    description.service = host.pool;
    description.capacity = host.capacity;
    description.clockMilliseconds = 1'000;
    m_state->updateExecutor(description, now);
}

void planned_fleet::carryOut(const host_order &order)
{
    host_description &host = hosts[order.host];
    if (isOrderAnswered) {
        m_planner->handleOrderResult(order, orderResult, now);
    }
    m_state->removeExecutor(host.executor);
    host.pool = order.pool;
    host.executor += "-moved";
    registerExecutor(host);
}

} // namespace parsleyglade
