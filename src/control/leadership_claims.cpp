#include "control/leadership_task.h"

namespace parsleyglade {

namespace {

constexpr double millicoresPerCore = 1000;

} // namespace

void leadership_task::suspect(const std::string &reason)
{
    if (m_isRetired || m_leader || m_loader || m_claimWriter || m_isClaimDelayed || m_loop.now() < m_nextClaim) {
        return;
    }
    m_log.info("watches the journal", {{"reason", reason}, {"silenceMicroseconds", silence().count()}});
    beginClaim();
}

void leadership_task::beginClaim()
{
    if (m_isRetired || m_leader || m_loader || m_claimWriter) {
        return;
    }
    m_loader
        = std::make_unique<journal_loader>(m_loop, m_platform.store, m_settings.scheduling, m_settings.journalSilence, [this](journal_loader::result result) {
              // The loader is still on the stack.
              m_loop.post([old = std::shared_ptr<journal_loader>(std::move(m_loader))] {});
              takeLoaded(std::move(result));
          });
    m_loader->start();
}

void leadership_task::takeLoaded(journal_loader::result result)
{
    m_nextClaim = m_loop.now() + m_settings.claimPause;
    switch (result.found) {
    case journal_loader::finding::unavailable:
        m_log.warning("can't read the journal", {{"reason", result.reason}});
        return;
    case journal_loader::finding::alive:
        m_log.info("the journal is written by another entry host", {{"end", result.end}});
        return;
    case journal_loader::finding::silent:
        break;
    }
    const auto shared = std::make_shared<journal_loader::result>(std::move(result));
    const auto claimNow = [this, shared] {
        m_isClaimDelayed = false;
        if (!m_isRetired && !m_leader && !m_claimWriter) {
            claim(std::move(shared->restored), shared->hasResigned, shared->end);
        }
    };
    if (!isWeak()) {
        claimNow();
        return;
    }
    // The claim is conditional on the end that was loaded, so it fails when another entry host has claimed meanwhile.
    m_isClaimDelayed = true;
    m_delayedClaim = m_loop.after(claimDelay(), claimNow);
}

bool leadership_task::isWeak() const
{
    return m_settings.processorShare < m_settings.leadingShare;
}

duration leadership_task::claimDelay() const
{
    const double missing = isWeak() ? 1.0 - m_settings.processorShare / m_settings.leadingShare : 0.0;
    return std::chrono::duration_cast<duration>(missing * m_settings.claimHandicap);
}

std::int32_t leadership_task::leadingMillicores() const
{
    const bool couldLead = !m_isRetired && m_loop.now() - m_announcements.lastContact() < m_settings.storeContactLimit;
    return couldLead ? static_cast<std::int32_t>(m_settings.processorShare * millicoresPerCore) : 0;
}

/** Resigns when the asking entry host has the processor share for the lead and this one has not. */
void leadership_task::handOverTo(const wire::leader_probe &question)
{
    const bool isStronger = question.leadingMillicores >= static_cast<std::int32_t>(m_settings.leadingShare * millicoresPerCore);
    const bool hasLedLong = m_loop.now() - m_leadsSince > m_settings.handOverAfter && m_loop.now() >= m_nextHandOver;
    if (!m_leader || m_leader->isResigning() || !isWeak() || !isStronger || !hasLedLong) {
        return;
    }
    m_nextHandOver = m_loop.now() + m_settings.handOverPause;
    m_log.info("hands the lead over", {{"to", question.peerAddress}, {"millicores", question.leadingMillicores}});
    m_leader->resign();
}

void leadership_task::claim(std::unique_ptr<scheduler> restored, bool hasResigned, std::uint64_t end)
{
    const auto shared = std::make_shared<std::unique_ptr<scheduler>>(std::move(restored));
    m_claimWriter = std::make_unique<journal_writer>(m_loop, m_platform.store, m_settings, end, [this] {
        m_log.info("another entry host has claimed the lead");
        m_loop.post([old = std::shared_ptr<journal_writer>(std::move(m_claimWriter))] {});
    });
    wire::batch_record header;
    header.takeover = true;
    m_claimWriter->append(header, {}, [this, shared, hasResigned](std::uint64_t offset) {
        m_loop.post([old = std::shared_ptr<journal_writer>(std::move(m_claimWriter))] {});
        beginLeading(std::move(*shared), hasResigned, offset);
    });
}

void leadership_task::beginLeading(std::unique_ptr<scheduler> restored, bool hasResigned, std::uint64_t offset)
{
    m_metrics.countTakeover();
    m_leadsSince = m_loop.now();
    m_log.info("leads", {{"fence", offset}, {"jobs", restored->jobCount()}});
    m_link.reset();
    m_hasEverFollowed = true;
    m_followedFence = static_cast<std::int64_t>(offset);
    m_leader = std::make_unique<leader_task>(m_loop, m_platform, m_settings, m_metrics, std::move(restored), hasResigned, offset, offset + 1,
                                             [this] { stopLeading(); });
    m_heldProbeTimer = m_loop.every(m_settings.probeHold, [this] { answerHeldProbes(); });
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
    m_heldProbeTimer.cancel();
    answerHeldProbes();
    m_lastHealthy = m_loop.now();
    m_nextClaim = m_loop.now() + m_settings.claimPause;
    if (const auto successor = std::exchange(m_successor, std::nullopt)) {
        follow(successor->address, successor->fence);
    }
}

} // namespace parsleyglade
