#include "control/leadership_task.h"

#include <algorithm>

namespace parsleyglade {

namespace {

std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

} // namespace

const std::vector<std::string> &leadership_task::successors() const
{
    return m_leader ? m_choice.names() : m_successors;
}

/** Whether the leader has named this entry host as a successor. */
bool leadership_task::isSuccessor() const
{
    return std::find(m_successors.begin(), m_successors.end(), m_settings.peerAddress) != m_successors.end();
}

/** Applies the leader's choice: keeps a copy of the journal's state while named, and frees it otherwise. */
void leadership_task::setSuccessors(const std::vector<std::string> &successors)
{
    m_successors = successors;
    if (!isSuccessor()) {
        m_follower.reset();
    } else if (!m_follower && !isElecting()) {
        m_follower = std::make_unique<journal_follower>(m_loop, m_platform.store, m_settings.scheduling, m_metrics);
        m_follower->start();
    }
}

/** Goes on following the journal from the copy of an election that another entry host has won, or that has ended without a takeover. */
void leadership_task::keepCopy(journal_copy copy)
{
    if (isSuccessor() && !m_isRetired && copy.state) {
        m_follower = std::make_unique<journal_follower>(m_loop, m_platform.store, m_settings.scheduling, m_metrics);
        m_follower->resume(std::move(copy));
    }
}

/** Updates the named successors once the journal is so large that loading it delays a takeover. */
void leadership_task::chooseSuccessors()
{
    if (!m_leader || m_leader->isResigning() || (m_choice.names().empty() && m_leader->state().jobCount() <= m_settings.successorJobs)) {
        return;
    }
    const auto toMillicores = [](double share) {
        constexpr double millicoresPerCore = 1000;
        return static_cast<std::int32_t>(share * millicoresPerCore);
    };
    const successor_choice::leader_properties properties{m_peers.dataCentre, toMillicores(m_settings.processorShare),
                                                         toMillicores(m_settings.leaderProcessorShare)};
    if (m_choice.update(m_members, properties, m_loop.now())) {
        m_log.notice("named successors", {{"successors", join(m_choice.names())}, {"jobs", m_leader->state().jobCount()}});
    }
}

/** Tries to take over from a leader that has stated that the store refuses it. */
void leadership_task::claimFromRefusedLeader(std::uint64_t journalEnd)
{
    if (isElecting() || (m_refusedEnd == journalEnd && m_loop.now() < m_nextElection)) {
        return;
    }
    m_refusedEnd = journalEnd;
    m_log.info("the store refuses the leader; trying to take over", {{"end", journalEnd}, {"copy", m_follower && m_follower->isLoaded()}});
    startElection("the store refuses the leader", journalEnd);
}

/** Tells the followers that the store refuses this leader's appends. */
void leadership_task::handleStoreRefusal()
{
    m_log.warning("the store refuses appends; another entry host may take over",
                  {{"end", m_leader->journalEnd()},
                   {"ageMs", std::chrono::duration_cast<std::chrono::milliseconds>(m_leader->journalAge()).count()},
                   {"successors", join(m_choice.names())}});
    replyToDeferredProbes();
}

} // namespace parsleyglade
