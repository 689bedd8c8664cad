#include "control/control_daemon.h"

#include "control/team_report.h"

#include "reports/metrics_page.h"

namespace parsleyglade {

namespace {

// Time without contact to a working leader after which an entry host reports that it is not ready for new connections.
constexpr duration maximumReadySilence = std::chrono::milliseconds{2500};

// Maximum size of one read of the operators' topic. It is far smaller than a configuration with thousands of routes, so that only the
// newest of several configurations is fetched over a slow link.
constexpr std::size_t operatorReadBytes = std::size_t{16} * 1024;

topic_follower::settings operatorFollowerSettings()
{
    topic_follower::settings settings;
    settings.maximumReadBytes = operatorReadBytes;
    return settings;
}

} // namespace

control_daemon::control_daemon(event_loop &loop, const platform_clients &platform, control_settings settings, peer_settings peers)
    : m_loop(loop)
    , m_decoder(platform.decoder)
    , m_settings(std::move(settings))
    , m_peers(std::move(peers))
    , m_leadership(loop, platform, m_settings, m_peers, [this](const std::string &encoded) { applyConfiguration(encoded, "peer"); })
    , m_gateway(loop, m_leadership, m_settings)
    , m_relay(loop, platform.executors, m_settings.relays)
    , m_server(loop, m_peers, m_settings.peerAddress,
               [this](const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply) {
                   if (!m_relay.handlePeer(peer, message, reply) && !m_leadership.handlePeer(message, reply)) {
                       m_log.warning("ignoring a peer message of an unknown kind");
                   }
               })
    , m_operators(
          loop, platform.store, store_topic::operators, operatorFollowerSettings(), [this](const store_record &record) { handleOperatorRecord(record); },
          [this] { m_leadership.confirmConfiguration(m_operators.currentAsOf()); })
{
}

outcome<bool> control_daemon::start()
{
    if (const auto listening = m_server.listen(); !listening) {
        return listening.lastReason();
    }
    m_operators.start();
    m_leadership.start();
    return true;
}

bool control_daemon::isReady() const
{
    return !m_isRetired && m_configuration.version > 0 && m_leadership.silence() < maximumReadySilence;
}

const queue_configuration &control_daemon::configuration() const
{
    return m_configuration;
}

queue_lookup control_daemon::findQueue(std::string_view host, std::string_view path) const
{
    if (m_configuration.version == 0) {
        return {queue_lookup::lookup_status::unconfigured};
    }
    if (const queue_policy *queue = m_configuration.match(host, path)) {
        return {queue_lookup::lookup_status::found, queue};
    }
    if (m_leadership.leaderConfigurationVersion() > m_configuration.version) {
        return {queue_lookup::lookup_status::outdated};
    }
    const bool isCurrent = m_leadership.configurationAge() < m_settings.configurationBound;
    return {isCurrent ? queue_lookup::lookup_status::not_found : queue_lookup::lookup_status::unverified};
}

key_verdict control_daemon::checkKeyFor(const queue_policy &queue, const std::optional<std::string> &keyDigest) const
{
    if (!m_configuration.needsKey(queue)) {
        return key_verdict::accepted;
    }
    key_check_state state;
    state.isLeaderNewer = m_leadership.leaderConfigurationVersion() > m_configuration.version;
    state.configurationAge = m_leadership.configurationAge();
    state.configurationBound = m_settings.configurationBound;
    state.revocationBound = m_settings.revocationBound;
    return checkKey(keyDigest && m_configuration.keys.findTeam(*keyDigest) != nullptr, state);
}

leadership_task &control_daemon::leadership()
{
    return m_leadership;
}

work_gateway &control_daemon::gateway()
{
    return m_gateway;
}

std::string control_daemon::metricsPage()
{
    const leader_task *leader = m_leadership.leader();
    const auto gauge = [](std::string name, std::string help, double value) {
        return metric{std::move(name), std::move(help), {{{}, gauge_value{value}}}};
    };
    std::vector<metric> metrics = m_leadership.metrics().collect();
    metrics.push_back(gauge("parsleyglade_leading", "1 while this entry host leads.", leader == nullptr ? 0 : 1));
    metrics.push_back(gauge("parsleyglade_ready", "1 while this entry host is ready for connections.", isReady() ? 1 : 0));
    metrics.push_back(gauge("parsleyglade_leader_silence_seconds", "Time since the leader was last known to work.", toSeconds(m_leadership.silence())));
    metrics.push_back(gauge("parsleyglade_configuration_version", "Version of the configuration in force.", static_cast<double>(m_configuration.version)));
    metrics.push_back(gauge("parsleyglade_configuration_bytes", "Size of the encoded configuration in force.", static_cast<double>(m_configurationBytes)));
    metrics.push_back(gauge("parsleyglade_configuration_age_seconds", "Time since the configuration in force was last known to be the newest.",
                            toSeconds(m_leadership.configurationAge())));
    metrics.push_back(
        gauge("parsleyglade_log_lines_left_out", "Log lines dropped because of the rate limit or a slow reader.", static_cast<double>(droppedLogLines())));
    const std::vector<metric> relay = m_relay.metrics();
    metrics.insert(metrics.end(), relay.begin(), relay.end());
    if (leader != nullptr) {
        metrics.push_back(gauge("parsleyglade_jobs", "Jobs known to the leader.", static_cast<double>(leader->state().jobCount())));
        const std::vector<metric> load = leader->loadMetrics();
        metrics.insert(metrics.end(), load.begin(), load.end());
        metrics.push_back(gauge("parsleyglade_journal_age_seconds", "Time since the last confirmed append to the journal.", toSeconds(leader->journalAge())));
    }
    return renderMetrics(metrics);
}

std::optional<std::string> control_daemon::teamsDocument() const
{
    const leader_task *leader = m_leadership.leader();
    if (leader == nullptr) {
        return std::nullopt;
    }
    return renderTeams(leader->state().teamStatuses(), m_configuration.version);
}

void control_daemon::retire()
{
    m_isRetired = true;
    m_leadership.retire();
    m_relay.leave();
}

void control_daemon::handleOperatorRecord(const store_record &record)
{
    if (record.value.empty()) {
        return;
    }
    if (m_decoder.isWave(record.key)) {
        handleWave(record);
        return;
    }
    if (!m_decoder.isConfiguration(record.key)) {
        return;
    }
    applyConfiguration(record.value, "store");
}

void control_daemon::handleWave(const store_record &record)
{
    const auto wave = m_decoder.decodeWave(record.value);
    if (!wave) {
        m_log.error("failed to decode a maintenance wave; ignoring it", {{"key", record.key}, {"reason", wave.lastReason().reason}});
        return;
    }
    m_log.info("maintenance wave received", {{"wave", wave->wave}, {"hosts", wave->hosts.size()}, {"cap", wave->cap}});
    m_leadership.setWave(*wave);
}

void control_daemon::applyConfiguration(const std::string &encoded, std::string_view source)
{
    const time_point decodeStartedAt = m_loop.now();
    auto configuration = m_decoder.decodeConfiguration(encoded);
    if (!configuration) {
        m_log.error("failed to decode the configuration; keeping the one in force", {{"source", source}, {"reason", configuration.lastReason().reason}});
        return;
    }
    if (configuration->version <= m_configuration.version) {
        return; // the topic was reloaded
    }
    const auto decodeTime = std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now() - decodeStartedAt);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_leadership.configurationAge());
    m_log.info("configuration in force",
               {{"version", configuration->version},
                {"source", source},
                {"queues", configuration->queues.size()},
                {"bytes", encoded.size()},
                {"decodeMs", decodeTime.count()},
                {"previousAgeMs", age.count()}});
    m_configurationBytes = encoded.size();
    m_configuration = std::move(*configuration);
    m_leadership.setConfiguration(m_configuration, encoded);
}

} // namespace parsleyglade
