#include "entry/fleet_task.h"

namespace parsleyglade {

namespace {

constexpr const char *streamName = "fleet";
constexpr duration decisionTimeout = std::chrono::seconds{5};
constexpr duration hostListInterval = std::chrono::seconds{1};
constexpr duration appendInterval = std::chrono::milliseconds{250};
constexpr duration repeatDelay = std::chrono::seconds{2};
constexpr duration retireTimeout = std::chrono::seconds{2};

} // namespace

fleet_tables toFleetTables(const tables &published)
{
    fleet_tables made;
    for (const pool &entry : published.pools().pools()) {
        made.pools.push_back({entry.name, entry.service, entry.spare, entry.availabilityObjective, static_cast<std::size_t>(entry.minimumHosts),
                              static_cast<std::size_t>(entry.slotsPerHost)});
        for (const pool_host &host : entry.hosts) {
            made.hosts.push_back({host.host, entry.name, entry.region, host.dataCentre, host.rack});
        }
    }
    return made;
}

fleet_task::fleet_task(event_loop &loop, const entry_settings &settings, log_client &log, host_list_client &hostList, peer_task &peers)
    : m_loop(loop)
    , m_log(log)
    , m_hostList(hostList)
    , m_peers(peers)
    , m_region(settings.region)
    , m_dataCentre(settings.dataCentre)
    , m_membership(peers.incarnation(), settings.dataCentre)
    , m_snapshotInterval(std::min<duration>(settings.snapshotInterval, settings.logRetention / 2))
    , m_snapshotAt(loop.now())
    , m_follower(loop, log, streamName,
                 {[this] { return std::max(m_readFrom, m_fold.nextOffset()); }, [this](const std::vector<log_record> &records) { applyRecords(records); },
                  [this](log_offset earliest) {
                      m_readFrom = earliest;
                      m_fold.skipTo(earliest);
                  }})
{
    m_hostListTimer = m_loop.every(hostListInterval, [this] { fetchHostList(); });
    m_appendTimer = m_loop.every(appendInterval, [this] { appendDueRecords(); });
    fetchHostList();
}

void fleet_task::onChange(std::function<void()> changed)
{
    m_changed = std::move(changed);
}

void fleet_task::onPoolChange(std::function<void(const std::string &)> changed)
{
    m_poolChanged = std::move(changed);
}

void fleet_task::reportPoolChanges()
{
    for (const auto &[host, assignment] : m_fold.state().hosts) {
        std::int64_t &lastEpoch = m_lastMoveEpochs[host];
        if (assignment.epoch != lastEpoch && !assignment.isLeaving()) {
            m_poolChanged(host);
        }
        lastEpoch = assignment.epoch;
    }
}

void fleet_task::setObservationSource(observation_source source)
{
    m_observationSource = std::move(source);
}

void fleet_task::setTables(const std::shared_ptr<const tables> &published)
{
    m_tables = toFleetTables(*published);
}

const fleet_fold &fleet_task::fold() const
{
    return m_fold;
}

const fleet_tables &fleet_task::publishedHosts() const
{
    return m_tables;
}

const stream_follower &fleet_task::follower() const
{
    return m_follower;
}

listed_state fleet_task::listedState(const std::string &host) const
{
    const auto found = m_listedStates.find(host);
    return found == m_listedStates.end() ? listed_state::unlisted : found->second;
}

std::optional<time_point> fleet_task::hostListFetchedAt() const
{
    return m_hostListFetchedAt;
}

std::vector<host_membership> fleet_task::memberships() const
{
    std::map<std::string, endpoint_observation> observations;
    for (const fleet_host &host : m_tables.hosts) {
        observations[host.name] = m_observationSource(host.name);
    }
    return m_membership.evaluate(m_tables, m_fold, observations, m_loop.now());
}

void fleet_task::applyRecords(const std::vector<log_record> &records)
{
    m_hasRead = true;
    bool isChanged = false;
    for (const log_record &record : records) {
        isChanged = m_fold.apply(record.offset, record.payload) == fleet_fold_status::applied || isChanged;
        m_readFrom = std::max(m_readFrom, record.offset + 1);
    }

    completeDecidedRecords();
    if (isChanged) {
        reportPoolChanges();
        m_changed();
        appendDueRecords();
    }
}

void fleet_task::append(const wire::fleet_record &record, record_callback done)
{
    const std::int64_t id = record.record;
    // The command may be a retry of one that was sent to another entry host.
    const auto known = m_fold.resultOf(id);
    if (known && known->isApplied) {
        m_loop.post([done = std::move(done), id] { done(id); });
        return;
    }

    pending_record &waiting = m_pendingRecords[id];
    waiting.done = std::move(done);
    const auto fail = [this, id](result_code code, const std::string &reason) {
        auto node = m_pendingRecords.extract(id);
        if (!node.empty()) {
            node.mapped().done(failure{code, reason, {}});
        }
    };
    waiting.timeout = m_loop.after(
        decisionTimeout, [fail] { fail(result_code::log_append_unknown, "the record was not read back from the log in time; it may still be applied"); });

    m_log.append(streamName, encode(record), [fail, alive = std::weak_ptr<bool>(m_alive)](const append_result &result) {
        if (!alive.expired() && result.status == append_status::refused) {
            fail(result_code::log_unavailable, result.reason);
        }
    });
}

void fleet_task::completeDecidedRecords()
{
    for (auto position = m_pendingRecords.begin(); position != m_pendingRecords.end();) {
        const auto result = m_fold.resultOf(position->first);
        if (!result) {
            ++position;
            continue;
        }

        const std::int64_t id = position->first;
        const auto done = std::move(position->second.done);
        position = m_pendingRecords.erase(position);
        if (result->isApplied) {
            done(id);
        } else {
            const std::string reason(result->reason ? name(*result->reason) : "skipped");
            done(failure{result_code::move_conflict, "the record was not applied: " + reason, {}});
        }
    }
}

fleet_record_builder fleet_task::newRecord()
{
    fleet_record_builder builder(static_cast<std::int64_t>(m_peers.incarnation()));
    builder.setIdentifierAndTime(static_cast<std::int64_t>(m_random()), m_loop.wallNow().time_since_epoch().count());
    return builder;
}

void fleet_task::fetchHostList()
{
    m_hostList.fetch([this, alive = std::weak_ptr<bool>(m_alive)](const outcome<host_list> &list) {
        if (alive.expired()) {
            return;
        }
        if (!list) {
            m_logger.debug("could not fetch the host list; retrying", {{"reason", list.lastReason().reason}});
            return;
        }
        applyHostList(*list);
    });
}

void fleet_task::applyHostList(const host_list &list)
{
    std::map<std::string, listed_state> listed;
    std::vector<std::string> entryAddresses;
    for (const listed_host &host : list.hosts) {
        if (host.role == host_role::entry) {
            entryAddresses.push_back(host.address);
        } else {
            listed[host.host] = host.state == host_state::leaving ? listed_state::leaving : listed_state::live;
        }
    }

    m_peers.addAddresses(entryAddresses);
    m_hostListFetchedAt = m_loop.now();
    if (listed != m_listedStates) {
        m_listedStates = std::move(listed);
        m_changed();
    }
}

void fleet_task::appendDueRecords()
{
    if (!m_hasRead || m_fold.isAwaitingSnapshot() || !m_follower.isLogReachable()) {
        return;
    }

    registerIfNeeded();
    acknowledgeMoves();
    completeMoves();
    writeSnapshotIfDue();
}

void fleet_task::writeSnapshotIfDue()
{
    // Snapshots are written even without new records, because retention eventually removes the last one.
    const bool isDue = m_loop.now() - m_snapshotAt >= m_snapshotInterval;
    if (!isDue || m_isWritingSnapshot) {
        return;
    }

    if (!m_peers.isSelected("fleet snapshot")) {
        return;
    }

    // A snapshot is valid only if it directly follows the state that it contains. If another record was appended first, it is written again.
    m_isWritingSnapshot = true;
    const log_offset expected = m_fold.nextOffset();
    const auto snapshot = m_fold.snapshot(m_peers.incarnation(), static_cast<std::int64_t>(m_random() >> 1) | 1, m_loop.wallNow().time_since_epoch().count());
    m_log.append(streamName, encode(snapshot), [this, expected, alive = std::weak_ptr<bool>(m_alive)](const append_result &result) {
        if (alive.expired()) {
            return;
        }
        m_isWritingSnapshot = false;
        if (result.status == append_status::appended && result.offset == expected) {
            m_snapshotAt = m_loop.now();
            m_logger.info("snapshot written", {{"offset", expected}});
        }
    });
}

void fleet_task::appendOnce(const std::string &purpose, const wire::fleet_record &record)
{
    const auto last = m_lastAppends.find(purpose);
    if (last != m_lastAppends.end() && m_loop.now() - last->second < repeatDelay) {
        return;
    }

    m_lastAppends[purpose] = m_loop.now();
    append(record, [this, purpose](const outcome<std::int64_t> &result) {
        if (!result) {
            m_logger.info("record not applied", {{"purpose", purpose}, {"reason", result.lastReason().reason}});
        }
    });
}

void fleet_task::registerIfNeeded()
{
    if (m_isRetiring || m_fold.isRegistered(m_peers.incarnation())) {
        return;
    }

    const auto known = m_fold.state().entryHosts.find(m_peers.self());
    const std::int64_t registrationCount = known == m_fold.state().entryHosts.end() ? 0 : known->second.registrationCount;
    appendOnce("register", newRecord().registered(m_peers.self(), m_dataCentre, m_region, registrationCount));
}

void fleet_task::acknowledgeMoves()
{
    for (const fleet_host &host : m_tables.hosts) {
        const auto found = m_fold.state().hosts.find(host.name);
        if (found == m_fold.state().hosts.end() || !found->second.isLeaving() || host.dataCentre != m_dataCentre) {
            continue;
        }

        const bool isAcknowledged = found->second.acknowledged.contains(static_cast<std::int64_t>(m_peers.incarnation()));
        if (!isAcknowledged && m_membership.mayAcknowledge(host, m_fold, m_observationSource(host.name))) {
            appendOnce("acknowledge " + host.name, newRecord().moveAcknowledged(host.name, found->second.epoch));
        }
    }
}

void fleet_task::completeMoves()
{
    for (const fleet_host &host : m_tables.hosts) {
        if (!m_fold.isDrained(host.name)) {
            m_drainedSince.erase(host.name);
            continue;
        }

        const time_point since = m_drainedSince.emplace(host.name, m_loop.now()).first->second;
        if (host.dataCentre != m_dataCentre || !membership::mayJoin(host.name, m_fold, m_observationSource(host.name), since)) {
            continue;
        }
        appendOnce("join " + host.name, newRecord().moveJoined(host.name, m_fold.state().hosts.at(host.name).epoch));
    }
}

void fleet_task::retire(std::function<void()> done)
{
    m_isRetiring = true;
    if (!m_follower.isLogReachable() || !m_fold.isRegistered(m_peers.incarnation())) {
        m_loop.post(std::move(done));
        return;
    }

    const auto timeout = std::make_shared<timer_subscription>();
    const auto once = std::make_shared<std::function<void()>>(std::move(done));
    const auto finish = [once, timeout] {
        timeout->cancel();
        if (auto finished = std::exchange(*once, nullptr)) {
            finished();
        }
    };
    *timeout = m_loop.after(retireTimeout, finish);
    append(newRecord().retired(m_peers.self(), static_cast<std::int64_t>(m_peers.incarnation())), [finish](const outcome<std::int64_t> &) { finish(); });
}

} // namespace parsleyglade
