#include "control/leadership_task.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// Maximum number of known entry hosts. The one whose last message is the oldest is removed first.
constexpr std::size_t maximumMembers = 256;

} // namespace

const std::map<std::string, member> &leadership_task::members() const
{
    return m_members;
}

void leadership_task::recordMember(const std::string &address)
{
    if (address.empty() || address == m_settings.peerAddress) {
        return;
    }
    m_members[address].lastMessageAt = m_loop.now();
    if (m_members.size() > maximumMembers) {
        m_members.erase(std::min_element(m_members.begin(), m_members.end(),
                                         [](const auto &left, const auto &right) { return left.second.lastMessageAt < right.second.lastMessageAt; }));
    }
}

void leadership_task::recordProbe(const wire::leader_probe &request)
{
    recordMember(request.peerAddress);
    const auto found = m_members.find(request.peerAddress);
    if (found != m_members.end()) {
        found->second.dataCentre = request.dataCentre;
        found->second.leadingMillicores = request.leadingMillicores;
        found->second.lastProbeAt = m_loop.now();
    }
}

/** The entry host to query next: each in turn, and every second time one that may have succeeded this leader. */
std::string leadership_task::nextMemberToQuery()
{
    const std::uint64_t number = m_memberQueries++;
    const std::vector<std::string> &successors = m_choice.names();
    if (m_leader && !successors.empty() && number % 2 == 0) {
        return successors[number / 2 % successors.size()];
    }
    auto next = m_members.upper_bound(m_lastMemberInTurn);
    if (next == m_members.end()) {
        next = m_members.begin();
    }
    m_lastMemberInTurn = next->first;
    return next->first;
}

/** Queries the next known entry host for the leader that it follows, for the case that this one can't read the announcement from the store. */
void leadership_task::queryNextMember()
{
    if (m_memberLink || m_members.empty()) {
        return;
    }
    m_queriedMember = nextMemberToQuery();
    m_memberQuerySentAt = m_loop.now();
    const auto sendProbe = [this](bool isReady) {
        if (isReady) {
            m_memberLink->request(makeProbe(), m_settings.probeTimeout, [this](const outcome<wire::peer_message> &reply) { handleMemberReply(reply); });
        }
    };
    m_memberLink = std::make_unique<peer_link>(m_loop, m_peers, m_queriedMember, sendProbe);
    m_memberQueryTimer = m_loop.after(m_settings.probeTimeout, [this] { m_loop.post([old = std::shared_ptr<peer_link>(std::move(m_memberLink))] {}); });
}

void leadership_task::handleMemberReply(const outcome<wire::peer_message> &reply)
{
    if (!reply || !reply->__isset.probeReply) {
        return;
    }
    const wire::leader_status &status = reply->probeReply;
    for (const std::string &address : status.members) {
        m_members.try_emplace(address);
    }
    compareConfiguration(m_queriedMember, status, m_memberQuerySentAt);
    if (!status.leaderAddress.empty() && status.leaderAddress != m_settings.peerAddress) {
        follow(status.leaderAddress, status.leadership);
    }
}

} // namespace parsleyglade
