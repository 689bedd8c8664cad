#include "control/leadership_task.h"

namespace parsleyglade {

namespace {

constexpr double millicoresPerCore = 1000;

} // namespace

void leadership_task::suspect(const std::string &reason)
{
    if (m_isRetired || m_leader || m_loader || m_takeoverWriter || m_isElectionDelayed || m_loop.now() < m_nextElection) {
        return;
    }
    m_log.info("suspecting the leader; watching the journal", {{"reason", reason}, {"silenceMicroseconds", silence().count()}});
    startElection();
}

void leadership_task::startElection()
{
    if (m_isRetired || m_leader || m_loader || m_takeoverWriter) {
        return;
    }
    m_loader = std::make_unique<journal_loader>(m_loop, m_platform.store, m_settings.scheduling, m_settings.journalSilenceTimeout,
                                                [this](journal_loader::result result) {
                                                    // This runs in a callback of the loader, so the loader is destroyed from the event loop.
                                                    m_loop.post([old = std::shared_ptr<journal_loader>(std::move(m_loader))] {});
                                                    handleLoadedJournal(std::move(result));
                                                });
    m_loader->start();
}

void leadership_task::handleLoadedJournal(journal_loader::result result)
{
    m_nextElection = m_loop.now() + m_settings.electionBackoff;
    switch (result.state) {
    case journal_loader::journal_state::unavailable:
        m_log.warning("failed to read the journal; retrying later", {{"reason", result.reason}});
        return;
    case journal_loader::journal_state::active:
        m_log.info("the journal is active; not taking over", {{"end", result.end}});
        return;
    case journal_loader::journal_state::silent:
        break;
    }
    const auto shared = std::make_shared<journal_loader::result>(std::move(result));
    const auto takeOver = [this, shared] {
        m_isElectionDelayed = false;
        if (!m_isRetired && !m_leader && !m_takeoverWriter) {
            appendTakeover(std::move(shared->restored), shared->hasResigned, shared->end);
        }
    };
    if (!hasLowProcessorShare()) {
        takeOver();
        return;
    }
    // The append is conditional on the end of the loaded journal, so it fails if another entry host takes over during the delay.
    m_isElectionDelayed = true;
    m_delayedElectionTimer = m_loop.after(electionDelay(), takeOver);
}

bool leadership_task::hasLowProcessorShare() const
{
    return m_settings.processorShare < m_settings.leaderProcessorShare;
}

duration leadership_task::electionDelay() const
{
    const double shareDeficit = hasLowProcessorShare() ? 1.0 - m_settings.processorShare / m_settings.leaderProcessorShare : 0.0;
    return std::chrono::duration_cast<duration>(shareDeficit * m_settings.maximumElectionDelay);
}

std::int32_t leadership_task::leadingMillicores() const
{
    const bool couldLead = !m_isRetired && m_loop.now() - m_announcements.lastContact() < m_settings.storeContactTimeout;
    return couldLead ? static_cast<std::int32_t>(m_settings.processorShare * millicoresPerCore) : 0;
}

wire::peer_message leadership_task::makeProbe() const
{
    wire::leader_probe request;
    request.configurationVersion = m_configuration.version;
    request.peerAddress = m_settings.peerAddress;
    request.leadingMillicores = leadingMillicores();
    request.dataCentre = m_peers.dataCentre;
    wire::peer_message message;
    message.__set_probe(request);
    return message;
}

/** Resigns if the sender of the probe has enough processor share to lead and this entry host has not. */
void leadership_task::handOverIfBetterSuited(const wire::leader_probe &request)
{
    const bool hasEnoughProcessorShare = request.leadingMillicores >= static_cast<std::int32_t>(m_settings.leaderProcessorShare * millicoresPerCore);
    const bool mayHandOver = m_loop.now() - m_leadingSince > m_settings.minimumTermBeforeHandover && m_loop.now() >= m_nextHandover;
    if (!m_leader || m_leader->isResigning() || !hasLowProcessorShare() || !hasEnoughProcessorShare || !mayHandOver) {
        return;
    }
    m_nextHandover = m_loop.now() + m_settings.handoverInterval;
    m_log.info("handing over leadership", {{"to", request.peerAddress}, {"millicores", request.leadingMillicores}});
    m_leader->resign();
}

void leadership_task::appendTakeover(std::unique_ptr<scheduler> restored, bool hasResigned, std::uint64_t end)
{
    const auto shared = std::make_shared<std::unique_ptr<scheduler>>(std::move(restored));
    m_takeoverWriter = std::make_unique<journal_writer>(m_loop, m_platform.store, m_settings, end, [this] {
        m_log.info("another entry host has taken over leadership");
        m_loop.post([old = std::shared_ptr<journal_writer>(std::move(m_takeoverWriter))] {});
    });
    wire::batch_record header;
    header.takeover = true;
    m_takeoverWriter->append(header, {}, [this, shared, hasResigned](std::uint64_t offset) {
        m_loop.post([old = std::shared_ptr<journal_writer>(std::move(m_takeoverWriter))] {});
        startLeading(std::move(*shared), hasResigned, offset);
    });
}

void leadership_task::startLeading(std::unique_ptr<scheduler> restored, bool hasResigned, std::uint64_t offset)
{
    m_metrics.countTakeover();
    m_leadingSince = m_loop.now();
    m_log.info("leads", {{"fence", offset}, {"jobs", restored->jobCount()}});
    m_link.reset();
    m_hasFollowedLeader = true;
    m_followedFence = static_cast<std::int64_t>(offset);
    m_leader = std::make_unique<leader_task>(m_loop, m_platform, m_settings, m_peers, m_metrics, std::move(restored), hasResigned, offset, offset + 1,
                                             [this] { stopLeading(); });
    m_deferredProbeTimer = m_loop.every(m_settings.maximumProbeReplyDelay, [this] { replyToDeferredProbes(); });
    m_leader->setConfiguration(m_configuration);
    for (const auto &[number, wave] : m_waves) {
        m_leader->setWave(wave);
    }
    if (m_isRetired) {
        m_leader->resign();
    }
}

void leadership_task::stopLeading()
{
    m_leader.reset();
    m_deferredProbeTimer.cancel();
    replyToDeferredProbes();
    m_lastHealthy = m_loop.now();
    m_nextElection = m_loop.now() + m_settings.electionBackoff;
    if (const auto successor = std::exchange(m_successor, std::nullopt)) {
        follow(successor->address, successor->fence);
    }
}

} // namespace parsleyglade
