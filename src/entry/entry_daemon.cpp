#include "entry/entry_daemon.h"

#include <random>

namespace parsleyglade {

namespace {

constexpr duration stopCheckInterval = std::chrono::milliseconds{20};

/** Time for the load balancer to notice that this host is not ready, before it refuses connections. */
constexpr duration balancerGracePeriod = std::chrono::milliseconds{500};

incarnation_id newIncarnation()
{
    std::random_device device;
    constexpr std::uint64_t positive = 0x7fffffffffffffffULL;
    return incarnation_id{static_cast<std::int64_t>(((std::uint64_t{device()} << 32) | device()) & positive)};
}

} // namespace

entry_daemon::entry_daemon(event_loop &loop, const entry_settings &settings, log_client &log, host_list_client &hostList)
    : m_loop(loop)
    , m_settings(settings)
    , m_peers(loop, m_settings, newIncarnation())
    , m_claims(loop, m_settings, log, m_peers)
    , m_configuration(loop, m_settings, log, m_peers)
    , m_fleet(loop, m_settings, log, hostList, m_peers)
    , m_endpoints(loop, m_settings.dataCentre)
    , m_jobs(loop, m_settings, m_peers, m_claims, m_fleet, m_endpoints)
    , m_planner(loop, m_settings, m_peers, m_fleet, m_endpoints, m_jobs.dispatch())
    , m_callers(loop, m_settings, m_jobs)
    , m_admin({loop, m_settings, m_peers, m_claims, m_configuration, m_fleet, m_endpoints, m_jobs, m_planner, m_callers, [this] {
                   return isReady();
               }})
{
    connectTasks();
}

void entry_daemon::connectTasks()
{
    m_peers.setHeartbeatSource([this] { return makeHeartbeat(); });
    m_peers.setRequestHandler(
        [this](const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply) { serve(peer, message, reply); });
    m_claims.setLogReachable([this] { return m_configuration.isLogReachable(); });
    m_configuration.onChange([this] { tablesChanged(); });
    m_fleet.setObservationSource([this](const std::string &host) { return m_endpoints.observation(host); });
    m_fleet.onPoolChange([this](const std::string &host) { m_endpoints.recordPoolChange(host); });
    m_fleet.onChange([this] {
        m_jobs.dispatch().refresh();
        m_admin.fleetChanged();
    });
    m_jobs.setEndObserver([this](const job &ended, const job_outcome &outcome, duration elapsed) { m_admin.jobEnded(ended, outcome, elapsed); });
}

outcome<bool> entry_daemon::start()
{
    if (const auto peers = m_peers.start(); !peers) {
        return peers.lastReason();
    }
    if (const auto admin = m_admin.start(); !admin) {
        return admin.lastReason();
    }
    if (const auto callers = m_callers.start(); !callers) {
        return callers.lastReason();
    }

    m_logger.info("entry host started", {{"entry_host", m_settings.entryHost}, {"data_centre", m_settings.dataCentre}, {"callers", m_settings.callerAddress}});
    return true;
}

wire::heartbeat entry_daemon::makeHeartbeat() const
{
    wire::heartbeat heartbeat;
    heartbeat.incarnation = static_cast<std::int64_t>(m_peers.incarnation());
    heartbeat.configurationRevision = static_cast<std::int64_t>(m_configuration.fold().revision());
    heartbeat.configurationOffset = static_cast<std::int64_t>(m_configuration.fold().nextOffset());
    heartbeat.configurationDigest = m_configuration.fold().digest();
    heartbeat.fleetOffset = static_cast<std::int64_t>(m_fleet.fold().nextOffset());
    heartbeat.ready = isReady();
    // A stopping host must not be selected as a coordinator, even if it reaches the log.
    heartbeat.logReachable = m_configuration.isLogReachable() && !m_isStopping;
    heartbeat.loads = m_jobs.dispatch().loads();
    heartbeat.pools = m_planner.poolLoads();
    heartbeat.unhealthyHosts = m_planner.unhealthyHosts();
    heartbeat.sentMicroseconds = m_loop.now().time_since_epoch().count();
    return heartbeat;
}

void entry_daemon::serve(const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply)
{
    const bool isServed
        = m_claims.serve(peer, message, reply) || m_configuration.serve(message, reply) || m_jobs.serve(message, reply) || m_admin.serve(message, reply);
    if (!isServed) {
        m_logger.warning("ignored an unknown message from a peer", {{"entry_host", peer.entryHost}});
    }
}

void entry_daemon::tablesChanged()
{
    const auto published = m_configuration.current();
    m_fleet.setTables(published);
    m_endpoints.setTables(published);
    m_callers.setTables(published);
    m_jobs.setTables(published);
    m_admin.tablesChanged();
}

bool entry_daemon::isReady() const
{
    // A new process can't register while the log is unreachable, but it can still forward requests to registered peers.
    const bool isUsable = m_fleet.fold().isRegistered(m_peers.incarnation()) || !m_configuration.isLogReachable();
    return !m_isStopping && m_configuration.fold().revision() > 0 && isUsable;
}

void entry_daemon::stop(std::function<void()> stopped)
{
    if (m_isStopping) {
        return;
    }

    m_logger.info("stopping", {{"jobs", m_jobs.activeJobs()}});
    m_isStopping = true;
    m_stopped = std::move(stopped);
    m_stopDeadline = m_loop.now() + m_settings.drainTimeout;
    m_callers.closeConnectionsAfterResponses();
    m_stopCheck = m_loop.after(balancerGracePeriod, [this] {
        m_callers.stopAccepting();
        m_jobs.stopAccepting();
        m_stopCheck = m_loop.every(stopCheckInterval, [this] { checkStopProgress(); });
    });
}

void entry_daemon::checkStopProgress()
{
    const bool isDone = m_jobs.isIdle() && m_callers.isDrained();
    if (!isDone && m_loop.now() < m_stopDeadline) {
        return;
    }

    m_stopCheck.cancel();
    if (!isDone) {
        m_logger.warning("drain limit reached before all jobs and connections ended; stopping now", {{"jobs", m_jobs.activeJobs()}});
    }
    m_claims.resign();
    m_fleet.retire([this] {
        m_logger.info("stopped");
        m_stopped();
    });
}

} // namespace parsleyglade
