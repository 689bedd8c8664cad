#include "entry/configuration_task.h"

#include "core/digest.h"
#include "tables/tables.h"

namespace parsleyglade {

namespace {

constexpr const char *streamName = "config";
constexpr duration decisionTimeout = std::chrono::seconds{5};
constexpr duration fetchTimeout = std::chrono::seconds{2};
constexpr duration snapshotCheckInterval = std::chrono::seconds{5};

} // namespace

configuration_task::configuration_task(event_loop &loop, const entry_settings &settings, log_client &log, peer_task &peers)
    : m_loop(loop)
    , m_log(log)
    , m_peers(peers)
    , m_snapshotInterval(std::min<duration>(settings.snapshotInterval, settings.logRetention / 2))
    , m_follower(loop, log, streamName,
                 {[this] { return std::max(m_readFrom, m_fold.nextOffset()); }, [this](const std::vector<log_record> &records) { applyRecords(records); },
                  [this](log_offset earliest) {
                      handleTrim(earliest);
                  }})
{
    m_snapshotAt = m_loop.now();
    m_peers.addListener(this);
    m_snapshotTimer = m_loop.every(snapshotCheckInterval, [this] { writeSnapshotIfDue(); });
}

void configuration_task::onChange(std::function<void()> changed)
{
    m_changed = std::move(changed);
}

const configuration_fold &configuration_task::fold() const
{
    return m_fold;
}

std::shared_ptr<const tables> configuration_task::current() const
{
    return m_fold.current();
}

bool configuration_task::isLogReachable() const
{
    return m_follower.isLogReachable();
}

const stream_follower &configuration_task::follower() const
{
    return m_follower;
}

void configuration_task::applyRecords(const std::vector<log_record> &records)
{
    for (const log_record &record : records) {
        apply(record.offset, record.payload, false);
        m_readFrom = std::max(m_readFrom, record.offset + 1);
    }
}

void configuration_task::apply(log_offset offset, std::string_view bytes, bool fromPeer)
{
    const revision_number before = m_fold.revision();
    const configuration_fold_status status = m_fold.apply(offset, bytes);
    if (status == configuration_fold_status::ignored) {
        return;
    }
    if (status == configuration_fold_status::skipped) {
        m_logger.warning("skipped an invalid configuration record", {{"offset", offset}});
    }
    if (!fromPeer) {
        pushToPeers(offset, bytes);
    }

    completeDecidedPublications();
    if (m_fold.revision() != before) {
        m_logger.info("configuration in force",
                      {{"revision", m_fold.revision()}, {"offset", offset}, {"digest", toHex(m_fold.digest()).substr(0, 12)}, {"from_peer", fromPeer}});
        m_changed();
    }
}

void configuration_task::handleTrim(log_offset earliest)
{
    // The fold skips records after the gap until it reads a snapshot. Peers may still hold the missing records.
    m_readFrom = std::max(m_readFrom, earliest);
    for (const peer_state &peer : m_peers.livePeers()) {
        fetchFrom(peer.identity.entryHost);
    }
}

void configuration_task::pushToPeers(log_offset offset, std::string_view bytes)
{
    wire::log_record record;
    record.offset = static_cast<std::int64_t>(offset);
    record.payload = std::string(bytes);
    wire::log_records records;
    records.stream = streamName;
    records.records.push_back(std::move(record));
    wire::peer_message message;
    message.__set_records(records);
    m_peers.broadcast(message);
}

void configuration_task::heartbeatReceived(const peer_state &peer)
{
    if (static_cast<log_offset>(peer.heartbeat.configurationOffset) > m_fold.nextOffset()) {
        fetchFrom(peer.identity.entryHost);
    }
}

void configuration_task::fetchFrom(const std::string &entryHost)
{
    if (m_isFetching) {
        return;
    }

    m_isFetching = true;
    wire::log_fetch fetch;
    fetch.stream = streamName;
    fetch.fromOffset = static_cast<std::int64_t>(m_fold.nextOffset());
    wire::peer_message message;
    message.__set_fetch(fetch);
    m_peers.request(entryHost, message, fetchTimeout, [this, alive = std::weak_ptr<bool>(m_alive)](const outcome<wire::peer_message> &reply) {
        if (alive.expired()) {
            return;
        }
        m_isFetching = false;
        if (reply && reply->__isset.records) {
            for (const wire::log_record &record : reply->records.records) {
                apply(static_cast<log_offset>(record.offset), record.payload, true);
            }
        }
    });
}

bool configuration_task::serve(wire::peer_message &message, const peer_server::reply_function &reply)
{
    if (message.__isset.records && message.records.stream == streamName) {
        for (const wire::log_record &record : message.records.records) {
            apply(static_cast<log_offset>(record.offset), record.payload, true);
        }
        return true;
    }

    if (message.__isset.fetch && message.fetch.stream == streamName) {
        wire::log_records records;
        records.stream = streamName;
        for (const configuration_record_copy &copy : m_fold.recordsFrom(static_cast<log_offset>(message.fetch.fromOffset))) {
            wire::log_record record;
            record.offset = static_cast<std::int64_t>(copy.offset);
            record.payload = copy.bytes;
            records.records.push_back(std::move(record));
        }
        wire::peer_message response;
        response.__set_records(records);
        reply(response);
        return true;
    }

    return false;
}

void configuration_task::publish(const publication &requested, std::function<void(publish_result)> done)
{
    const auto checked = parseTables(requested.routes, requested.pools);
    if (!checked) {
        m_loop.post([done = std::move(done), failures = checked.failures(), revision = m_fold.revision()] { done({false, true, revision, failures}); });
        return;
    }

    // The command may be a retry of one that was sent to another entry host.
    if (const auto known = m_fold.resultOf(requested.id)) {
        m_loop.post([done = std::move(done), result = *known] { done({result.accepted, true, result.revision, result.failures}); });
        return;
    }

    wire::table_proposal proposal;
    proposal.baseRevision = static_cast<std::int64_t>(requested.baseRevision);
    proposal.routes = checked->routes().canonicalJson();
    proposal.pools = checked->pools().canonicalJson();
    proposal.author = requested.author;
    proposal.note = requested.note;
    proposal.proposal = requested.id;
    wire::configuration_record record;
    record.__set_proposal(proposal);

    const std::int64_t id = requested.id;
    pending_publication &waiting = m_pendingPublications[id];
    waiting.done = std::move(done);
    const auto failPublication = [this, id](const std::string &reason) {
        auto node = m_pendingPublications.extract(id);
        if (!node.empty()) {
            node.mapped().done({false, false, m_fold.revision(), {{result_code::log_append_unknown, reason, {}}}});
        }
    };
    waiting.timeout
        = m_loop.after(decisionTimeout, [failPublication] { failPublication("the proposal was not read back from the log in time; it may still be decided"); });

    m_log.append(streamName, encode(record), [this, id, alive = std::weak_ptr<bool>(m_alive)](const append_result &result) {
        if (alive.expired() || result.status != append_status::refused) {
            return;
        }
        auto node = m_pendingPublications.extract(id);
        if (!node.empty()) {
            node.mapped().done({false, true, m_fold.revision(), {{result_code::log_unavailable, result.reason, {}}}});
        }
    });
}

void configuration_task::completeDecidedPublications()
{
    for (auto position = m_pendingPublications.begin(); position != m_pendingPublications.end();) {
        const auto result = m_fold.resultOf(position->first);
        if (!result) {
            ++position;
            continue;
        }

        m_loop.post([done = std::move(position->second.done), result = *result] { done({result.accepted, true, result.revision, result.failures}); });
        position = m_pendingPublications.erase(position);
    }
}

void configuration_task::writeSnapshotIfDue()
{
    // Snapshots are written even without new records, because retention eventually removes the last one. A snapshot must directly follow
    // the state that it contains; otherwise folds ignore it and it is written again.
    const bool isNeeded = m_fold.revision() > 0;
    const bool isDue = m_loop.now() - m_snapshotAt >= m_snapshotInterval || !m_fold.lastSnapshotOffset();
    if (m_isWritingSnapshot || !isNeeded || !isDue || !isLogReachable() || !m_peers.isSelected(streamName)) {
        return;
    }

    m_isWritingSnapshot = true;
    const log_offset expected = m_fold.nextOffset();
    m_log.append(streamName, m_fold.makeSnapshot(), [this, expected, alive = std::weak_ptr<bool>(m_alive)](const append_result &result) {
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

} // namespace parsleyglade
