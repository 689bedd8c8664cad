#include "control/leadership_task.h"

namespace parsleyglade {

namespace {

constexpr double millicoresPerCore = 1000;

// An election after a failure of the store begins within electionBackoff, plus the time that the failing requests take.
constexpr duration storeFailureMemory = std::chrono::seconds{3};

// Number of attempts that a refused leader has before an entry host that was without the store itself takes over.
constexpr int leaderRetries = 3;

} // namespace

void leadership_task::suspect(const std::string &reason)
{
    if (isElecting() || m_loop.now() < m_nextElection) {
        return;
    }
    m_log.info("suspecting the leader; watching the journal", {{"reason", reason}, {"silenceMicroseconds", silence().count()}});
    startElection(reason);
}

/** Whether an election is in progress, or this entry host takes part in none. */
bool leadership_task::isElecting() const
{
    return m_isRetired || m_leader || m_loader || m_takeoverWriter || m_isElectionDelayed;
}

/** @param refusedEnd end of the journal as of the last confirmed append of a leader that is refused by the store; @see journal_loader::setRefusedEnd() */
void leadership_task::startElection(const std::string &reason, std::optional<std::uint64_t> refusedEnd)
{
    if (isElecting()) {
        return;
    }
    m_electionReason = reason;
    m_electionStartedAt = m_loop.now();
    m_loader = std::make_unique<journal_loader>(m_loop, m_platform.store, m_settings.scheduling, m_settings.journalSilenceTimeout,
                                                [this](journal_loader::result result) {
                                                    // This runs in a callback of the loader, so the loader is destroyed from the event loop.
                                                    m_loop.post([old = std::shared_ptr<journal_loader>(std::move(m_loader))] {});
                                                    handleLoadedJournal(std::move(result));
                                                });
    if (refusedEnd) {
        // When the store was unreachable from here as well, it is probably back for the leader too, which repeats its append in a moment.
        const bool wasUnavailable = m_announcements.isUnavailable() || m_loop.now() - m_storeFailedAt < storeFailureMemory;
        // While the store refuses one leader after the other, each change costs more than the leader's next attempts.
        const bool isNewLead = m_loop.now() - m_leaderChangedAt < m_settings.minimumTermBeforeHandover;
        m_loader->setRefusedEnd(*refusedEnd, wasUnavailable || isNewLead ? leaderRetries * m_settings.storeRetryDelay : duration::zero());
    }
    if (m_follower && m_follower->isLoaded()) {
        m_loader->setCopy(m_follower->takeCopy());
    } else if (!m_successors.empty() && !isSuccessor()) {
        const duration maximumDelay = m_settings.loadDelayPerMember * static_cast<std::int64_t>(m_members.size() + 1);
        m_loader->setGrace(m_settings.successorGrace + duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(maximumDelay.count()))));
    }
    m_follower.reset();
    m_loader->start();
}

void leadership_task::handleLoadedJournal(journal_loader::result result)
{
    m_nextElection = m_loop.now() + m_settings.electionBackoff;
    m_metrics.countElection(m_electionReason, std::string(journal_loader::name(result.state)), result.loaded);
    if (result.copy) {
        keepCopy(std::move(*result.copy));
    }
    switch (result.state) {
    case journal_loader::journal_state::unavailable:
        m_storeFailedAt = m_loop.now();
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
            appendTakeover(shared);
        }
    };
    // A named successor does not yield to others: the leader names one with a low processor share only when no entry host has a higher one.
    if (!hasLowProcessorShare() || isSuccessor()) {
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

/** Resigns if the sender of the probe has enough processor share to lead and this entry host has not. */
void leadership_task::handOverIfBetterSuited(const wire::leader_probe &request)
{
    const bool hasEnoughProcessorShare = request.leadingMillicores >= static_cast<std::int32_t>(m_settings.leaderProcessorShare * millicoresPerCore);
    const bool mayHandOver = m_loop.now() - m_leadingSince > m_settings.minimumTermBeforeHandover && m_loop.now() >= m_nextHandover;
    // Where the journal is large, the sender is named first, and loads the journal while this entry host still leads.
    const bool isPrepared = m_choice.names().empty() || m_choice.isPrepared(request.peerAddress, m_loop.now());
    if (!m_leader || m_leader->isResigning() || !hasLowProcessorShare() || !hasEnoughProcessorShare || !mayHandOver || !isPrepared) {
        return;
    }
    m_nextHandover = m_loop.now() + m_settings.handoverInterval;
    m_log.info("handing over leadership", {{"to", request.peerAddress}, {"millicores", request.leadingMillicores}});
    m_leader->resign();
}

void leadership_task::appendTakeover(const std::shared_ptr<journal_loader::result> &loaded)
{
    m_takeoverWriter = std::make_unique<journal_writer>(m_loop, m_platform.store, m_settings, loaded->end, [this, loaded] {
        m_log.info("another entry host has taken over leadership");
        m_loop.post([old = std::shared_ptr<journal_writer>(std::move(m_takeoverWriter))] {});
        keepCopy({std::move(loaded->restored), loaded->end, loaded->hasResigned});
    });
    m_takeoverWriter->giveUpWhenRefused([this, loaded] {
        m_log.info("the store refuses the takeover; retrying later");
        m_loop.post([old = std::shared_ptr<journal_writer>(std::move(m_takeoverWriter))] {});
        m_storeFailedAt = m_loop.now();
        m_nextElection = m_loop.now() + m_settings.electionBackoff;
        keepCopy({std::move(loaded->restored), loaded->end, loaded->hasResigned});
    });
    wire::batch_record header;
    header.takeover = true;
    m_takeoverWriter->append(header, {}, [this, loaded](std::uint64_t offset) {
        m_loop.post([old = std::shared_ptr<journal_writer>(std::move(m_takeoverWriter))] {});
        startLeading(*loaded, offset);
    });
}

void leadership_task::startLeading(journal_loader::result &loaded, std::uint64_t offset)
{
    const auto milliseconds = [](duration time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    const duration electionTime = m_loop.now() - m_electionStartedAt;
    m_metrics.countTakeover(electionTime);
    m_leadingSince = m_loop.now();
    // Of the level notice, because the first second of a lead writes more lines of the level info than the log accepts.
    m_log.notice("leads",
                 {{"fence", offset},
                  {"jobs", loaded.restored->jobCount()},
                  {"reason", m_electionReason},
                  {"electionMs", milliseconds(electionTime)},
                  {"copy", loaded.loaded.pages == 0},
                  {"pages", loaded.loaded.pages},
                  {"records", loaded.loaded.records},
                  {"bytes", loaded.loaded.bytes},
                  {"loadMs", milliseconds(loaded.loaded.elapsed)},
                  {"resigned", loaded.hasResigned}});
    m_link.reset();
    m_hasFollowedLeader = true;
    m_followedFence = static_cast<std::int64_t>(offset);
    std::erase(m_successors, m_settings.peerAddress);
    m_choice.start(std::exchange(m_successors, {}), m_loop.now());
    m_leader = std::make_unique<leader_task>(m_loop, m_platform, m_settings, m_peers, m_metrics, std::move(loaded.restored), loaded.hasResigned, offset,
                                             offset + 1, [this] { stopLeading(); });
    m_leader->onStoreRefusal([this] { handleStoreRefusal(); });
    m_deferredProbeTimer = m_loop.every(m_settings.maximumProbeReplyDelay, [this] {
        chooseSuccessors();
        replyToDeferredProbes();
    });
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
    m_lastHealthy = m_loop.now();
    m_nextElection = m_loop.now() + m_settings.electionBackoff;
    m_successors = m_choice.names();
    if (const auto successor = std::exchange(m_deposedBy, std::nullopt)) {
        follow(successor->address, successor->fence);
    }
    replyToDeferredProbes(); // with the successor, which entry hosts that are refused by the store can't read of
}

} // namespace parsleyglade
